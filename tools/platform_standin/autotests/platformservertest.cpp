#include "platform_standin/platformserver.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("PlatformServer: counts every call and rejects an unknown fault")
{
    // Guards against a measurement of control calls that misses some, and against a scenario whose misspelt fault is
    // ignored silently.
    PlatformServer server({});
    const auto address = server.open();
    REQUIRE(address.has_value());
    httplib::Client client("http://" + address->value());
    CHECK(client.Get("/objects/config")->status == 404);
    CHECK(client.Get("/kinds/config?after=0&wait_ms=0")->status == 200);
    CHECK(client.Put("/objects/config", {{"If-None-Match", "*"}}, "v", "text/plain")->status == 201);
    CHECK(client.Put("/objects/config", "v", "text/plain")->status == 400);
    CHECK(client.Post("/faults", R"({"dwon": true})", "application/json")->status == 400);

    const std::string stats = client.Get("/stats")->body;
    CAPTURE(stats);
    CHECK(stats.find(R"("total":4)") != std::string::npos);
    CHECK(stats.find(R"("waiting_watches":0)") != std::string::npos);
}

TEST_CASE("PlatformServer: a refused client address gets no response, not even to a waiting watch")
{
    // Guards against a simulated partition that leaves established connections open.
    PlatformServer server({});
    const auto address = server.open();
    REQUIRE(address.has_value());
    httplib::Client watcher("http://" + address->value());
    watcher.set_interface("127.0.0.2");
    httplib::Client other("http://" + address->value());
    std::thread watch([&] { CHECK_FALSE(watcher.Get("/kinds/config?after=0&wait_ms=60000")); });
    while (server.stats().find(R"("waiting_watches":1)") == std::string::npos) {
        std::this_thread::yield();
    }
    CHECK(server.applyFaults(R"({"refuse": ["127.0.0.2"]})").empty());
    watch.join();
    CHECK_FALSE(watcher.Get("/objects/config"));
    CHECK(other.Get("/objects/config")->status == 404);
    CHECK(server.applyFaults(R"({"refuse": []})").empty());
    CHECK(watcher.Get("/objects/config")->status == 404);
}
