#include "core/errorkind.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("ErrorKind: another server may be tried only if the request did not run")
{
    // Guards against a retry of a request whose outcome is unknown.
    for (int i = 0; i <= static_cast<int>(ErrorKind::ParentUnknown); ++i) {
        const ErrorResponse &response = errorResponseFor(static_cast<ErrorKind>(i));
        CAPTURE(response.name);
        CHECK((!response.otherServerMayBeTried || response.outcome == Outcome::NotRun));
        CHECK(response.outcome != Outcome::Completed);
        CHECK(errorKindFromName(response.name) == response.kind);
    }
}

TEST_CASE("ErrorKind: unknown names are not read as a known kind")
{
    // Guards against a decision about a retry that is based on an undefined header value.
    CHECK_FALSE(errorKindFromName("no-such-kind").has_value());
    CHECK_FALSE(outcomeFromName("ok").has_value());
    CHECK(outcomeFromName(outcomeName(Outcome::NotRun)) == Outcome::NotRun);
}
