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

/** What the actions of a run share. Used by the single thread of the io_context only. */
struct ActionContext {
    const CallerSettings &settings;
    HttpClient &client;
    std::function<TimePoint()> now; ///< Time since the start of the run.
};

/** One user action: a request, sent again at once after each failure until it succeeds or its resends are used up. */
class UserAction : public std::enable_shared_from_this<UserAction>
{
public:
    /** @p spread chooses the first server; resends go to the next ones. */
    UserAction(const ActionContext &context, const LoadClass &loadClass, LoadStats &stats, std::string tag,
               std::uint64_t spread, TimePoint due, std::function<void()> ended);

    void start();

private:
    void send();
    void received(const HttpResult &result);
    bool mayResend(Verdict verdict) const;
    HttpRequest makeRequest() const;
    HostAddress address() const;
    std::string currentTag() const;

    const ActionContext &context_;
    const LoadClass &loadClass_;
    LoadStats &stats_;
    std::string tag_;
    std::uint64_t spread_;
    TimePoint due_;
    std::function<void()> ended_;
    std::string body_;
    std::string identity_;
    int resends_ = 0;
};

} // namespace Hibiscus

#endif
