#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDRUN_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDRUN_H

#include "backend_standin/backendcore.h"
#include "backend_standin/downstreamcalls.h"
#include "http/httphandler.h"

#include <functional>
#include <memory>
#include <string>

#include <asio/steady_timer.hpp>

namespace Hibiscus
{

/**
 * One request from its arrival to its answer: wait for a slot, own work, downstream calls, answer.
 *
 * Used by the single thread of the io_context only.
 */
class BackendRun : public std::enable_shared_from_this<BackendRun>
{
public:
    /** @p path is the target without the prefix of the service. @p ended is called once, when the run has ended. */
    BackendRun(BackendCore &core, std::uint64_t id, HttpRequest request, std::string path, HttpResponder respond,
               std::function<void()> ended);

    void start();
    /** Stops the work, as the caller has closed its connection. */
    void cancel();

private:
    enum class State {
        Waiting,
        Working,
        Ended,
    };

    void armDeadline();
    void deadlinePassed();
    void work();
    void callDownstream();
    void complete(const std::vector<std::string> &children);
    void refuse(const std::string &reason);
    void fail(int status, const std::string &reason);
    void answer(int status, std::string body);
    /** Gives the slot back and stops the timers and the downstream calls; false if the run had ended before. */
    bool end();

    BackendCore &core_;
    std::uint64_t id_;
    HttpRequest request_;
    std::string path_;
    HttpResponder respond_;
    std::function<void()> ended_;
    BackendRoute route_;
    RequestMetadata metadata_;
    State state_ = State::Waiting;
    asio::steady_timer workTimer_;
    asio::steady_timer deadlineTimer_;
    std::shared_ptr<DownstreamCalls> calls_;
    HttpHeaders answerHeaders_;
};

} // namespace Hibiscus

#endif
