#include "core/contenthash.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("requestSignature: a byte that moves between the parts changes the signature")
{
    // Guards against different requests that share a quarantine entry or an execution record because only the
    // concatenation of their parts is hashed.
    const ServiceName service("records");
    CHECK(requestSignature(service, "PUT", "/a", "bc") != requestSignature(service, "PUT", "/ab", "c"));
    CHECK(requestSignature(service, "PUT", "/a", "bc") == requestSignature(service, "PUT", "/a", "bc"));
}
