#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDREQUEST_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDREQUEST_H

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
 * One request from its arrival to its response: waits for a slot, then its service time, then its downstream calls.
 *
 * Used by the single thread of the io_context only.
 */
class BackendRequest : public std::enable_shared_from_this<BackendRequest>
{
public:
    /**
     * @p path is the target without the prefix of the service. Without @p respond, the request is executed but gets no
     * response. @p ended is called once, when the request has ended.
     */
    BackendRequest(BackendCore &core, std::uint64_t id, HttpRequest request, std::string path, HttpResponder respond,
                   std::function<void()> ended);

    /** Enqueues the request for a slot. Refuses it if the server drains, the queue is full or the deadline passed. */
    void start();
    /** Ends the request without a response, since the caller has closed its connection. */
    void cancel();

private:
    enum class State {
        Waiting,
        Working,
        Ended,
    };

    void startDeadlineTimer();
    void handleDeadline();
    void startWork();
    void callDownstream();
    void complete(const std::vector<std::string> &children);
    void refuse(const std::string &reason);
    void fail(int status, const std::string &reason);
    void sendResponse(int status, std::string body);
    /** Releases the slot and cancels the timers and the downstream calls; false if the request had ended before. */
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
    std::shared_ptr<DownstreamCalls> downstreamCalls_;
    HttpHeaders responseHeaders_;
};

} // namespace Hibiscus

#endif
