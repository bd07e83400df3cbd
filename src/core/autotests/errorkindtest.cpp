#include "core/errorkind.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("ErrorKind: another server is tried only where the request did not run")
{
    // Guards against a retry of a request whose fate is unknown.
    for (int i = 0; i <= static_cast<int>(ErrorKind::StaleIncarnation); ++i) {
        const ErrorResponse &answer = errorResponseFor(static_cast<ErrorKind>(i));
        CAPTURE(answer.name);
        CHECK((!answer.otherServerMayBeTried || answer.outcome == Outcome::NotRun));
        CHECK(answer.outcome != Outcome::Completed);
        CHECK(errorKindFromName(answer.name) == answer.kind);
    }
}

TEST_CASE("ErrorKind: unknown names are not read as a known kind")
{
    CHECK_FALSE(errorKindFromName("no-such-kind").has_value());
    CHECK_FALSE(outcomeFromName("ok").has_value());
    CHECK(outcomeFromName(outcomeName(Outcome::NotRun)) == Outcome::NotRun);
}
