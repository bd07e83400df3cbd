#include "discovery/registrationwriter.h"

#include "platform/memoryobjectstore.h"

#include <future>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

ServerRegistration registration(ServerState state)
{
    return {ServerName("i-1"),
            ServiceName("desk"),
            FailureDomainName("a"),
            HostAddress("10.0.0.1:80"),
            Incarnation(1),
            1,
            1,
            10,
            state};
}

/** A writer with its store and the thread that runs its callbacks. */
class WriterFixture
{
public:
    WriterFixture()
        : work_(asio::make_work_guard(context_))
        , worker_([this] { context_.run(); })
    {
        writer.start();
    }
    ~WriterFixture()
    {
        writer.stop();
        context_.stop();
        worker_.join();
    }

    void put(ServerState state)
    {
        std::promise<void> done;
        writer.put(registration(state), [&done] { done.set_value(); });
        done.get_future().wait();
    }

    void remove()
    {
        std::promise<void> done;
        writer.remove(ServerName("i-1"), [&done] { done.set_value(); });
        done.get_future().wait();
    }

    ServerState storedState()
    {
        return parseRegistration(ServerName("i-1"), store.get("backend-servers/i-1")->value)->state;
    }

    MemoryObjectStore store;

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread worker_;

public:
    RegistrationWriter writer{context_.get_executor(), store};
};

} // namespace

TEST_CASE("RegistrationWriter: a write whose response is lost is read back before the next write")
{
    // Guards against a drain that is acknowledged but not stored, and against a write that overwrites a later one.
    WriterFixture fixture;
    fixture.put(ServerState::Ready);
    fixture.store.setFaults({false, {}, 2});
    fixture.put(ServerState::Draining);
    CHECK(fixture.storedState() == ServerState::Draining);
    fixture.store.setFaults({});
    fixture.remove();
    CHECK(fixture.store.get("backend-servers/i-1").error() == StoreError::NotFound);
    fixture.remove();
}

TEST_CASE("RegistrationWriter: a registration of a previous process is overwritten")
{
    // Guards against a restarted daemon whose server stays registered with the state of the previous process.
    WriterFixture fixture;
    REQUIRE(fixture.store.create("backend-servers/i-1", "written by another process").has_value());
    fixture.put(ServerState::Ready);
    CHECK(fixture.storedState() == ServerState::Ready);
}

TEST_CASE("RegistrationWriter: after an outage the store holds the last registration requested during it")
{
    // Guards against a registration that is requested during an outage of the store and never written.
    WriterFixture fixture;
    fixture.store.setFaults({true, {}, 0});
    fixture.writer.put(registration(ServerState::Ready));
    std::promise<void> done;
    fixture.writer.put(registration(ServerState::Draining), [&done] { done.set_value(); });
    fixture.store.setFaults({});
    done.get_future().wait();
    CHECK(fixture.storedState() == ServerState::Draining);
}
