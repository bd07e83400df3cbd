#include "caller/attemptresult.h"

#include "backend_standin/responsetree.h"
#include "core/errorkind.h"

namespace Hibiscus
{

namespace
{

constexpr int kIdentityRequiredStatus = 428;

CallerOutcome evaluateServerResponse(const HttpResponse &response, const SentRequest &sent)
{
    if (response.headers.find(kTagHeader) != sent.tag) {
        return CallerOutcome::Wrong;
    }
    if (response.status < 200 || response.status >= 300) {
        return CallerOutcome::Failed;
    }
    const bool complete = isCompleteResponse(response.body, sent.tag, sent.body)
        && response.headers.find(kDigestHeader) == responseDigest(response.body);
    return complete ? CallerOutcome::Completed : CallerOutcome::Wrong;
}

CallerOutcome evaluateResponse(const HttpResponse &response, const SentRequest &sent)
{
    const auto tag = response.headers.find(kTagHeader);
    if (tag && *tag != sent.tag) {
        return CallerOutcome::Wrong;
    }
    if (!sent.layered) {
        const bool notRun = response.headers.find("Hibiscus-Not-Run") == "1";
        return notRun ? CallerOutcome::NotRun : evaluateServerResponse(response, sent);
    }
    const auto outcomeField = response.headers.find("Hibiscus-Outcome");
    const std::optional<Outcome> outcome = outcomeField ? outcomeFromName(*outcomeField) : std::nullopt;
    if (!outcome) {
        return CallerOutcome::Unknown;
    }
    switch (*outcome) {
    case Outcome::Completed:
        return evaluateServerResponse(response, sent);
    case Outcome::NotRun:
        return CallerOutcome::NotRun;
    case Outcome::Unknown:
        break;
    }
    return CallerOutcome::Unknown;
}

} // namespace

AttemptResult evaluateResult(const HttpResult &result, const SentRequest &sent)
{
    if (!result) {
        const bool notSent =
            result.error() == TransportError::ConnectFailed || result.error() == TransportError::NotBegun;
        return {notSent ? CallerOutcome::Unreachable : CallerOutcome::Unknown, {}};
    }
    const std::string identity(result->headers.find("Hibiscus-Request-Id").value_or(""));
    if (result->status == kIdentityRequiredStatus && !identity.empty()) {
        return {CallerOutcome::IdentityRequired, identity};
    }
    return {evaluateResponse(*result, sent), identity};
}

} // namespace Hibiscus
