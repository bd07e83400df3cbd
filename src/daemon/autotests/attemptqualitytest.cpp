#include "daemon/attemptquality.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("AttemptQuality: a broken or lost response is a failure of the server")
{
    // Guards against a server that sends broken responses and keeps its share of the requests.
    CallResult result;
    for (const ErrorKind kind : {ErrorKind::BadAnswer, ErrorKind::ServerCrashed}) {
        result.response = tl::unexpected(kind);
        CHECK(serverFailed(result, {}) == true);
    }
    result.response = tl::unexpected(ErrorKind::Cancelled);
    CHECK_FALSE(serverFailed(result, {}).has_value());
    result.response = HttpResponse{200, {}, ""};
    CHECK(serverFailed(result, {}) == false);
}
