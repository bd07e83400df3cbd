#include "daemon/serverhealth.h"

#include "core/steadyclock.h"
#include "http/autotests/responseforms.h"
#include "http/autotests/scriptedserver.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr const char *kHealthPath = "/health";

/** Number of health checks that counted as answered, of one that gets @p bytes. */
int answeredChecks(const std::string &bytes)
{
    const ScriptedServer server(bytes, AfterScript::Close, HostAddress("127.0.0.1:0"), kHealthPath);
    asio::io_context context;
    HttpClient client(context);
    const SteadyClock clock;
    DaemonIdentity self;
    self.backend = server.address();
    ServerHealth health(self, kHealthPath, client, clock);
    int answered = 0;
    health.setCallbacks([](bool) {}, [](const std::vector<Signature> &) {},
                        [&answered](const HttpResponse &) { ++answered; });
    health.tick();
    context.run();
    CHECK(server.runs == 1);
    return answered;
}

} // namespace

TEST_CASE("ServerHealth: a broken response to a health check says nothing")
{
    // Guards against a server that counts as up, or a notice that is taken over, because of such bytes.
    for (const BrokenResponse &broken : kBrokenResponses) {
        CAPTURE(broken.name);
        CHECK(answeredChecks(broken.bytes) == 0);
    }
    for (const std::string &sound : kSoundResponses) {
        CAPTURE(sound);
        CHECK(answeredChecks(sound) == 1);
    }
}
