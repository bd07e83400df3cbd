#include "http/httphandler.h"
#include "http/httpclient.h"
#include "http/httpserver.h"

#include <future>
#include <thread>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

/** Never responds; records the connection of its request and the connection that has closed. */
class SilentHandler : public HttpHandler
{
public:
    void handle(HttpRequest request, HttpResponder respond) override
    {
        respond_ = std::move(respond);
        received.set_value(request.connection);
    }

    void connectionClosed(std::uint64_t connection) override
    {
        closed.set_value(connection);
    }

    std::promise<std::uint64_t> received;
    std::promise<std::uint64_t> closed;

private:
    HttpResponder respond_;
};

} // namespace

TEST_CASE("HttpHandler: the handler is notified when a caller closes the connection of a request in progress")
{
    // Guards against work that continues for a caller that has closed its connection.
    asio::io_context context;
    SilentHandler handler;
    HttpServer server(context, {HostAddress("127.0.0.1:0")}, handler);
    const auto address = server.open();
    REQUIRE(address.has_value());
    HttpClient client(context);
    const auto work = asio::make_work_guard(context);
    std::thread worker([&context] { context.run(); });

    const auto call = client.send(*address, {"GET", "/", {}, "", 0}, {}, [](const HttpResult &) {});
    const std::uint64_t connection = handler.received.get_future().get();
    call->cancel();
    CHECK(handler.closed.get_future().get() == connection);
    context.stop();
    worker.join();
}
