#include "http/clientbudget.h"

#include "core/manualclock.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Hibiscus;

namespace
{

constexpr ClientLimits kLimits{100'000, 8};

/** Connection without I/O. */
class TestClient : public BudgetedClient
{
public:
    TestClient(ClientBudget &budget, ClientShare share)
        : budget_(budget)
        , account(budget.open(share, *this))
    {
    }
    ~TestClient() override
    {
        close(ClientEnd::Closed);
    }
    void cutOff(ClientEnd end) override
    {
        close(end);
    }
    void close(ClientEnd end)
    {
        if (account != nullptr) {
            budget_.close(std::exchange(account, nullptr), end);
        }
    }
    void receive(std::size_t bytes)
    {
        received += bytes;
        budget_.recordProgress(*account, bytes);
        budget_.update(*account, {received, 0, 0, 0}, ClientState::Receiving);
    }
    bool isOpen() const
    {
        return account != nullptr;
    }

private:
    ClientBudget &budget_;

public:
    ClientAccount *account;
    std::size_t received = 0;
};

} // namespace

TEST_CASE("ClientBudget: a crowd that stops just short of its end gives way to callers that make progress")
{
    // Guards against bodies of legal size that together take all memory, and against ending the wrong client for them.
    ManualClock clock;
    ClientBudget budget(kLimits, clock);
    std::vector<std::unique_ptr<TestClient>> crowd;
    for (int i = 0; i < 3; ++i) {
        crowd.push_back(std::make_unique<TestClient>(budget, ClientShare::Callers));
        crowd.back()->receive(30'000);
    }
    clock.advance(ClientBudget::kStallTime * 2);
    TestClient slow(budget, ClientShare::Callers);
    TestClient uploader(budget, ClientShare::Callers);
    for (int i = 0; i < 9; ++i) {
        clock.advance(ClientBudget::kStallTime);
        slow.receive(1); // A byte a second is no progress, but holds little.
        uploader.receive(10'000);
        REQUIRE(uploader.isOpen());
        CHECK(budget.held().total() <= kLimits.heldBytes);
    }
    CHECK(std::none_of(crowd.begin(), crowd.end(), [](const auto &client) { return client->isOpen(); }));
    CHECK(budget.ended(ClientEnd::HeldBytes) >= 3);
}

TEST_CASE("ClientBudget: callers can't take the connections and bytes of inner clients")
{
    ManualClock clock;
    ClientBudget budget(kLimits, clock);
    std::vector<std::unique_ptr<TestClient>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<TestClient>(budget, ClientShare::Callers));
        if (crowd.back()->isOpen()) {
            crowd.back()->receive(kLimits.heldBytes);
        }
    }
    CHECK(budget.connections() <= 6);
    TestClient probe(budget, ClientShare::Inner);
    REQUIRE(probe.isOpen());
    probe.receive(5'000);
    CHECK(probe.isOpen());
}

TEST_CASE("ClientBudget: sums never exceed the bounds, nothing leaks, and someone always goes on")
{
    // Any order of open, receive, wait, answer, read and close.
    rc::check([] {
        ManualClock clock;
        ClientBudget budget(kLimits, clock);
        {
            std::vector<std::unique_ptr<TestClient>> clients;
            for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000))) {
                const auto bytes = static_cast<std::size_t>(step * 7);
                TestClient *client = clients.empty() ? nullptr : clients[bytes % clients.size()].get();
                const bool isOpen = client != nullptr && client->isOpen();
                switch (step % 6) {
                case 0:
                    clients.push_back(std::make_unique<TestClient>(
                        budget, step % 4 == 0 ? ClientShare::Inner : ClientShare::Callers));
                    break;
                case 1:
                    clock.advance(Millis{static_cast<double>(step)});
                    break;
                case 2:
                    if (isOpen) {
                        budget.update(*client->account, {0, client->received, 0, 0}, ClientState::Handling);
                    }
                    break;
                case 3:
                    if (isOpen) {
                        client->received = 0;
                        budget.update(*client->account, {0, 0, bytes / 2, bytes / 2}, ClientState::Unread);
                    }
                    break;
                case 4:
                    if (isOpen) {
                        client->close(ClientEnd::Closed);
                    }
                    break;
                default:
                    if (isOpen) {
                        const bool hadOthers = budget.held().total() > client->received;
                        client->receive(bytes);
                        // The last one that holds anything goes on if it stays within the bound by itself.
                        RC_ASSERT(client->isOpen() || hadOthers || client->received > kLimits.heldBytes / 2);
                    }
                    break;
                }
                RC_ASSERT(budget.held().total() <= kLimits.heldBytes);
                RC_ASSERT(budget.connections() <= kLimits.connections);
            }
        }
        RC_ASSERT(budget.held().total() == 0);
        RC_ASSERT(budget.connections() == 0);
    });
}
