#include "caller/useraction.h"

#include "backend_standin/responsetree.h"

#include <utility>

#include <fmt/format.h>

namespace Hibiscus
{

namespace
{

constexpr const char *kIdentityHeader = "Hibiscus-Request-Id";
/** A caller waits a little longer than its deadline, so that an answer sent in time still counts. */
constexpr Millis kAnswerSlack{500};

/** Body that begins with the tag, so that no two requests have the same content, filled up to its size. */
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
                       std::uint64_t spread, TimePoint due, std::function<void()> ended)
    : context_(context)
    , loadClass_(loadClass)
    , stats_(stats)
    , tag_(std::move(tag))
    , spread_(spread)
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
    options.answerTimeout = loadClass_.deadline + kAnswerSlack;
    context_.client.send(address(), makeRequest(), options,
                         [self = shared_from_this()](const HttpResult &result) { self->received(result); });
}

void UserAction::received(const HttpResult &result)
{
    const AttemptResult judged = judge(result, {currentTag(), body_, context_.settings.mode == CallerMode::Layered});
    if (judged.verdict == Verdict::IdentityRequired && identity_.empty()) {
        identity_ = judged.identity;
        stats_.identityFetched();
        send();
        return;
    }
    const bool resend = mayResend(judged.verdict);
    // A repeatable request has a tag of its own for each attempt; otherwise only the last answer counts.
    if (judged.verdict == Verdict::NotRun && (loadClass_.repeatable || !resend)) {
        stats_.saidNotRun(currentTag());
    }
    if (resend) {
        ++resends_;
        stats_.resent();
        send();
        return;
    }
    stats_.ended(judged.verdict, due_, context_.now());
    ended_();
}

bool UserAction::mayResend(Verdict verdict) const
{
    const int allowed = context_.settings.mode == CallerMode::Direct ? 0 : context_.settings.resends;
    return verdict != Verdict::Completed && verdict != Verdict::Wrong && resends_ < allowed;
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
    const std::uint64_t index = spread_ + static_cast<std::uint64_t>(resends_);
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
