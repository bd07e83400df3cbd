#include "caller/useraction.h"

#include "backend_standin/responsetree.h"

#include <utility>

#include <fmt/format.h>

namespace Hibiscus
{

namespace
{

constexpr const char *kIdentityHeader = "Hibiscus-Request-Id";
/** Time that a caller waits beyond the deadline, so that a response sent just before it is still received. */
constexpr Millis kTimeoutMargin{500};

/**
 * Body of the size that the class sets, at least its tag, so that no two requests have the same content. Repeatable
 * requests of size 0 have no body.
 */
std::string makeBody(const LoadClass &loadClass, const std::string &tag)
{
    if (loadClass.bodyBytes == 0 && loadClass.repeatable) {
        return {};
    }
    std::string body = tag;
    if (body.size() < loadClass.bodyBytes) {
        body.resize(loadClass.bodyBytes, 'b');
    }
    return body;
}

} // namespace

UserAction::UserAction(const ActionContext &context, const LoadClass &loadClass, LoadStats &stats, std::string tag,
                       std::uint64_t firstServer, TimePoint due, std::function<void()> ended)
    : context_(context)
    , loadClass_(loadClass)
    , stats_(stats)
    , tag_(std::move(tag))
    , firstServer_(firstServer)
    , due_(due)
    , ended_(std::move(ended))
    , body_(makeBody(loadClass_, tag_))
{
}

void UserAction::start()
{
    send();
}

void UserAction::send()
{
    HttpCallOptions options;
    options.responseTimeout = loadClass_.deadline + kTimeoutMargin;
    context_.client.send(address(), makeRequest(), options,
                         [self = shared_from_this()](const HttpResult &result) { self->handleResult(result); });
}

void UserAction::handleResult(const HttpResult &result)
{
    const SentRequest sent{currentTag(), body_, context_.settings.mode == CallerMode::Layered};
    const AttemptResult attempt = evaluateResult(result, sent);
    if (attempt.outcome == CallerOutcome::IdentityRequired && identity_.empty()) {
        identity_ = attempt.identity;
        stats_.recordIdentityFetched();
        send();
        return;
    }
    const bool resend = mayResend(attempt.outcome);
    // Each resend of a repeatable request has a tag of its own. Other requests keep their tag, and only the last
    // response counts.
    if (attempt.outcome == CallerOutcome::NotRun && (loadClass_.repeatable || !resend)) {
        stats_.recordNotRun(currentTag());
    }
    if (resend) {
        ++resends_;
        stats_.recordResend();
        send();
        return;
    }
    stats_.recordEnd(attempt.outcome, due_, context_.now());
    ended_();
}

bool UserAction::mayResend(CallerOutcome outcome) const
{
    const int maximumResends = context_.settings.mode == CallerMode::Direct ? 0 : context_.settings.resends;
    return outcome != CallerOutcome::Completed && outcome != CallerOutcome::Wrong && resends_ < maximumResends;
}

HttpRequest UserAction::makeRequest() const
{
    const bool layered = context_.settings.mode == CallerMode::Layered;
    HttpRequest request;
    request.method = loadClass_.method;
    request.target = layered ? "/svc/" + loadClass_.service.value() + loadClass_.path : loadClass_.path;
    request.headers.add(kTagHeader, currentTag());
    request.headers.add("Hibiscus-Deadline-Ms", fmt::format("{:.0f}", loadClass_.deadline.value));
    if (!identity_.empty()) {
        request.headers.add(kIdentityHeader, identity_);
    }
    request.body = body_;
    return request;
}

HostAddress UserAction::address() const
{
    const std::uint64_t index = firstServer_ + static_cast<std::uint64_t>(resends_);
    const CallerSettings &settings = context_.settings;
    if (settings.mode == CallerMode::Layered) {
        return settings.targets[index % settings.targets.size()];
    }
    const std::vector<HostAddress> &servers = settings.servers.at(loadClass_.service);
    return servers[index % servers.size()];
}

std::string UserAction::currentTag() const
{
    return loadClass_.repeatable && resends_ > 0 ? fmt::format("{}-r{}", tag_, resends_) : tag_;
}

} // namespace Hibiscus
