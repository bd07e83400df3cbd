#ifndef HIBISCUS_CALLER_USERACTION_H
#define HIBISCUS_CALLER_USERACTION_H

#include "caller/callersettings.h"
#include "caller/loadstats.h"
#include "http/httpclient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Hibiscus
{

/** State shared by the user actions of a run. Used by the single thread of the io_context only. */
struct ActionContext {
    const CallerSettings &settings;
    HttpClient &client;
    std::function<TimePoint()> now; ///< Time since the start of the run.
};

/** One user action: a request that is resent at once after each failure until it succeeds or has no resends left. */
class UserAction : public std::enable_shared_from_this<UserAction>
{
public:
    /**
     * @p firstServer is an index modulo the number of addresses; each resend goes to the next one. @p due is the time
     * of the arrival. @p ended is called once, after the last attempt.
     */
    UserAction(const ActionContext &context, const LoadClass &loadClass, LoadStats &stats, std::string tag,
               std::uint64_t firstServer, TimePoint due, std::function<void()> ended);

    void start();

private:
    void send();
    void handleResult(const HttpResult &result);
    bool mayResend(CallerOutcome outcome) const;
    HttpRequest makeRequest() const;
    HostAddress address() const;
    std::string currentTag() const;

    const ActionContext &context_;
    const LoadClass &loadClass_;
    LoadStats &stats_;
    std::string tag_;
    std::uint64_t firstServer_;
    TimePoint due_;
    std::function<void()> ended_;
    std::string body_;
    std::string identity_;
    int resends_ = 0;
};

} // namespace Hibiscus

#endif
