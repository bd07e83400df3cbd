#include "platform/storetransport.h"
#include "http/autotests/responseforms.h"
#include "http/autotests/scriptedserver.h"

#include <optional>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

StoreCall scriptedCall(StoreCallKind kind)
{
    return {kind, kind == StoreCallKind::Read ? "GET" : "PUT", ScriptedServer::kScriptedTarget, {}, {}, {}, {}};
}

std::optional<StoreError> errorOf(const StoreResult<StoreResponse> &result)
{
    return result ? std::nullopt : std::optional(result.error());
}

} // namespace

TEST_CASE("StoreTransport: a broken response of the store is no response")
{
    // Guards against a write that counts as acknowledged, or a listing that is taken over, because of such bytes.
    for (const BrokenResponse &broken : kBrokenResponses) {
        CAPTURE(broken.name);
        const ScriptedServer server(broken.bytes, AfterScript::Close);
        StoreTransport transport({server.address(), "", Millis{5000}, Millis{5000}});
        CHECK(errorOf(transport.call(scriptedCall(StoreCallKind::Read))) == StoreError::Unavailable);
        CHECK(errorOf(transport.call(scriptedCall(StoreCallKind::Write))) == StoreError::Ambiguous);
    }
}

TEST_CASE("StoreTransport: a sound response of any form is a response")
{
    for (const std::string &bytes : kSoundResponses) {
        CAPTURE(bytes);
        const ScriptedServer server(bytes, AfterScript::Close);
        StoreTransport transport({server.address(), "", Millis{5000}, Millis{5000}});
        const StoreResult<StoreResponse> response = transport.call(scriptedCall(StoreCallKind::Read));
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        CHECK(response->body == "whole");
    }
}
