#ifndef HIBISCUS_CORE_ERRORKIND_H
#define HIBISCUS_CORE_ERRORKIND_H

#include <optional>
#include <string_view>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** What a response says about the execution of a request. */
enum class Outcome {
    Completed, ///< The complete response of the backend server is forwarded, whatever its status.
    NotRun, ///< No backend server ran the request, nor will run it.
    Unknown, ///< The request may have run; it will not be run again if it is not idempotent.
};

/** Closed list of the reasons why a request has no response from a backend server. */
enum class ErrorKind {
    BadRequest,
    UnknownService,
    BodyTooLarge,
    IdentityRequired,
    IdentityMismatch,
    Overloaded,
    Draining,
    Quarantined,
    DeadlineBeforeRun,
    AttemptsExhausted,
    NoServer,
    Unreachable,
    RulesNotFresh,
    ServerRefused,
    ResendRefused,
    InProgress,
    IdentityExpired,
    ArbiterLost,
    ConnectionLost,
    ServerCrashed,
    DeadlineExceeded,
    Cancelled,
    Internal,
    NoRoute,
    Misdirected,
    BadAnswer,
    StaleIncarnation,
    UnknownCaller,
    OverAllotment,
    AllotmentUnknown,
    ParentUnknown,
};

/** Response to a request that failed with an error kind. */
struct ErrorResponse {
    ErrorKind kind;
    std::string_view name; ///< Value of the Hibiscus-Error header.
    int httpStatus;
    Outcome outcome;
    bool otherServerMayBeTried; ///< The request did not run here, and another server may accept it.
};

/** Response to the caller for @p kind. */
const ErrorResponse &errorResponseFor(ErrorKind kind);

/** Error kind of a Hibiscus-Error header; empty if the name is not in the list. */
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/** Value of the Hibiscus-Outcome header. */
std::string_view outcomeName(Outcome outcome);

/** Outcome of a Hibiscus-Outcome header; empty if the name is not in the list. */
std::optional<Outcome> outcomeFromName(std::string_view name);

template<class T>
using Result = tl::expected<T, ErrorKind>;

} // namespace Hibiscus

#endif
