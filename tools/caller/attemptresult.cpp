#include "caller/attemptresult.h"

#include "backend_standin/responsetree.h"
#include "core/errorkind.h"

namespace Hibiscus
{

namespace
{

constexpr int kIdentityRequiredStatus = 428;

Verdict judgeServerAnswer(const HttpResponse &response, const SentRequest &sent)
{
    if (response.headers.find(kTagHeader) != sent.tag) {
        return Verdict::Wrong;
    }
    if (response.status < 200 || response.status >= 300) {
        return Verdict::Failed;
    }
    const bool whole = isCompleteResponse(response.body, sent.tag, sent.body)
        && response.headers.find(kDigestHeader) == responseDigest(response.body);
    return whole ? Verdict::Completed : Verdict::Wrong;
}

Verdict judgeAnswer(const HttpResponse &response, const SentRequest &sent)
{
    const auto tag = response.headers.find(kTagHeader);
    if (tag && *tag != sent.tag) {
        return Verdict::Wrong;
    }
    if (!sent.layered) {
        const bool notRun = response.headers.find("Hibiscus-Not-Run") == "1";
        return notRun ? Verdict::NotRun : judgeServerAnswer(response, sent);
    }
    const auto stated = response.headers.find("Hibiscus-Outcome");
    const std::optional<Outcome> outcome = stated ? outcomeFromName(*stated) : std::nullopt;
    if (!outcome) {
        return Verdict::Unknown;
    }
    switch (*outcome) {
    case Outcome::Completed:
        return judgeServerAnswer(response, sent);
    case Outcome::NotRun:
        return Verdict::NotRun;
    case Outcome::Unknown:
        break;
    }
    return Verdict::Unknown;
}

} // namespace

AttemptResult judge(const HttpResult &result, const SentRequest &sent)
{
    if (!result) {
        const bool sentNothing =
            result.error() == TransportError::ConnectFailed || result.error() == TransportError::NotWritten;
        return {sentNothing ? Verdict::Unreachable : Verdict::Unknown, {}};
    }
    const std::string identity(result->headers.find("Hibiscus-Request-Id").value_or(""));
    if (result->status == kIdentityRequiredStatus && !identity.empty()) {
        return {Verdict::IdentityRequired, identity};
    }
    return {judgeAnswer(*result, sent), identity};
}

} // namespace Hibiscus
