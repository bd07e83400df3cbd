#include "core/errorkind.h"

#include <array>

namespace Hibiscus
{

namespace
{

constexpr auto kResponses = std::to_array<ErrorResponse>({
    {ErrorKind::BadRequest, "bad-request", 400, Outcome::NotRun, false},
    {ErrorKind::UnknownService, "unknown-service", 404, Outcome::NotRun, false},
    {ErrorKind::BodyTooLarge, "body-too-large", 413, Outcome::NotRun, false},
    {ErrorKind::IdentityRequired, "identity-required", 428, Outcome::NotRun, false},
    {ErrorKind::IdentityMismatch, "identity-mismatch", 422, Outcome::NotRun, false},
    {ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, true},
    {ErrorKind::Draining, "draining", 503, Outcome::NotRun, true},
    {ErrorKind::Quarantined, "quarantined", 503, Outcome::NotRun, false},
    {ErrorKind::DeadlineBeforeRun, "deadline-before-run", 504, Outcome::NotRun, false},
    {ErrorKind::AttemptsExhausted, "attempts-exhausted", 429, Outcome::NotRun, false},
    {ErrorKind::NoServer, "no-server", 503, Outcome::NotRun, false},
    {ErrorKind::Unreachable, "unreachable", 502, Outcome::NotRun, true},
    {ErrorKind::RulesNotFresh, "rules-not-fresh", 503, Outcome::NotRun, true},
    {ErrorKind::ServerRefused, "server-refused", 503, Outcome::NotRun, true},
    {ErrorKind::ResendRefused, "resend-refused", 503, Outcome::Unknown, false},
    {ErrorKind::InProgress, "in-progress", 409, Outcome::Unknown, false},
    {ErrorKind::IdentityExpired, "identity-expired", 410, Outcome::Unknown, false},
    {ErrorKind::ArbiterLost, "arbiter-lost", 410, Outcome::Unknown, false},
    {ErrorKind::ConnectionLost, "connection-lost", 502, Outcome::Unknown, false},
    {ErrorKind::ServerCrashed, "server-crashed", 502, Outcome::Unknown, false},
    {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, Outcome::Unknown, false},
    {ErrorKind::Cancelled, "cancelled", 499, Outcome::Unknown, false},
    {ErrorKind::Internal, "internal", 500, Outcome::Unknown, false},
    {ErrorKind::NoRoute, "no-route", 404, Outcome::NotRun, false},
    {ErrorKind::Misdirected, "misdirected", 503, Outcome::NotRun, true},
    {ErrorKind::BadAnswer, "bad-answer", 502, Outcome::Unknown, false},
    {ErrorKind::StaleIncarnation, "stale-incarnation", 503, Outcome::NotRun, true},
    {ErrorKind::UnknownCaller, "unknown-caller", 401, Outcome::NotRun, false},
    {ErrorKind::OverAllotment, "over-allotment", 429, Outcome::NotRun, false},
    {ErrorKind::AllotmentUnknown, "allotment-unknown", 503, Outcome::NotRun, false},
    {ErrorKind::ParentUnknown, "parent-unknown", 503, Outcome::NotRun, false},
});

constexpr bool isIndexedByKind()
{
    for (std::size_t i = 0; i < kResponses.size(); ++i) {
        if (static_cast<std::size_t>(kResponses[i].kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(isIndexedByKind(), "the table must list the error kinds in the order of the enum");

constexpr std::array<std::string_view, 3> kOutcomeNames{"completed", "not-run", "unknown"};

} // namespace

const ErrorResponse &errorResponseFor(ErrorKind kind)
{
    return kResponses.at(static_cast<std::size_t>(kind));
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const ErrorResponse &response : kResponses) {
        if (response.name == name) {
            return response.kind;
        }
    }
    return std::nullopt;
}

std::string_view outcomeName(Outcome outcome)
{
    return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
        if (kOutcomeNames.at(i) == name) {
            return static_cast<Outcome>(i);
        }
    }
    return std::nullopt;
}

} // namespace Hibiscus
