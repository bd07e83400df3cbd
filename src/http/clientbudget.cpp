#include "http/clientbudget.h"

#include "core/logevent.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** What a connection takes besides the bytes that it holds. */
constexpr double kConnectionBytes = 2048;

/** How much a client holds for how long without progress. */
double burden(const ClientAccount &account, TimePoint now)
{
    const Millis withoutProgress = now - account.lastProgress;
    return (static_cast<double>(account.held.total()) + kConnectionBytes) * withoutProgress.value;
}

/** Of two clients that make progress, whether @p a is ended before @p b. */
bool isEndedBefore(const ClientAccount &a, const ClientAccount &b)
{
    if (a.waitsForClient() != b.waitsForClient()) {
        return a.waitsForClient();
    }
    return a.held.total() > b.held.total();
}

std::size_t indexOf(ClientShare share)
{
    return static_cast<std::size_t>(share);
}

void add(HeldBytes &sum, const HeldBytes &held)
{
    sum.received += held.received;
    sum.handled += held.handled;
    sum.queued += held.queued;
    sum.unread += held.unread;
}

void subtract(HeldBytes &sum, const HeldBytes &held)
{
    sum.received -= held.received;
    sum.handled -= held.handled;
    sum.queued -= held.queued;
    sum.unread -= held.unread;
}

} // namespace

ClientBudget::ClientBudget(ClientLimits limits, const Clock &clock)
    : limits_(limits)
    , clock_(clock)
{
}

ClientAccount *ClientBudget::open(ClientShare share, BudgetedClient &client)
{
    const bool isFull = accounts_.size() >= limits_.connections;
    if (isFull || connectionsByShare_[indexOf(share)] >= connectionsFor(share)) {
        ClientAccount *chosen = chooseConnection(share);
        if (chosen == nullptr) {
            ++ended_[static_cast<std::size_t>(ClientEnd::Connections)];
            return nullptr;
        }
        cutOff(*chosen, ClientEnd::Connections);
    }
    ClientAccount &account = accounts_.emplace_back();
    account.share = share;
    account.client = &client;
    account.lastProgress = clock_.now();
    account.position = std::prev(accounts_.end());
    ++connectionsByShare_[indexOf(share)];
    return &account;
}

void ClientBudget::close(ClientAccount *account, ClientEnd end)
{
    heldByShare_[indexOf(account->share)] -= account->held.total();
    subtract(held_, account->held);
    --connectionsByShare_[indexOf(account->share)];
    ++ended_[static_cast<std::size_t>(end)];
    accounts_.erase(account->position);
}

void ClientBudget::recordProgress(ClientAccount &account, std::size_t bytes) const
{
    account.movedBytes += bytes;
    if (account.movedBytes >= kProgressBytes) {
        recordMessage(account);
    }
}

void ClientBudget::recordMessage(ClientAccount &account) const
{
    account.movedBytes = 0;
    account.hasProgressed = true;
    account.lastProgress = clock_.now();
}

void ClientBudget::update(ClientAccount &account, const HeldBytes &held, ClientState state)
{
    subtract(held_, account.held);
    add(held_, held);
    std::size_t &shareBytes = heldByShare_[indexOf(account.share)];
    shareBytes = shareBytes - account.held.total() + held.total();
    account.held = held;
    account.state = state;
    // The account may end in this loop.
    while (exceeds()) {
        ClientAccount *chosen = chooseHolder();
        if (chosen == nullptr) {
            return;
        }
        cutOff(*chosen, ClientEnd::HeldBytes);
    }
}

HeldBytes ClientBudget::held() const
{
    return held_;
}

std::size_t ClientBudget::connections() const
{
    return accounts_.size();
}

std::size_t ClientBudget::connections(ClientState state) const
{
    return static_cast<std::size_t>(std::count_if(
        accounts_.begin(), accounts_.end(), [state](const ClientAccount &account) { return account.state == state; }));
}

std::uint64_t ClientBudget::ended(ClientEnd end) const
{
    return ended_[static_cast<std::size_t>(end)];
}

bool ClientBudget::callersExceed() const
{
    return heldByShare_[indexOf(ClientShare::Callers)] > bytesFor(ClientShare::Callers);
}

bool ClientBudget::exceeds() const
{
    return callersExceed() || held_.total() > bytesFor(ClientShare::Inner);
}

std::size_t ClientBudget::bytesFor(ClientShare share) const
{
    const double fraction = share == ClientShare::Callers ? 1 - kInnerFraction : 1;
    return static_cast<std::size_t>(static_cast<double>(limits_.heldBytes) * fraction);
}

std::size_t ClientBudget::connectionsFor(ClientShare share) const
{
    const double fraction = share == ClientShare::Callers ? 1 - kInnerConnectionFraction : 1;
    return static_cast<std::size_t>(static_cast<double>(limits_.connections) * fraction);
}

bool ClientBudget::isWithoutProgress(const ClientAccount &account) const
{
    return account.waitsForClient() && (!account.hasProgressed || clock_.now() - account.lastProgress >= kStallTime);
}

ClientAccount *ClientBudget::chooseHolder()
{
    const TimePoint now = clock_.now();
    const bool onlyCallers = callersExceed();
    ClientAccount *stalled = nullptr;
    ClientAccount *largest = nullptr;
    for (ClientAccount &account : accounts_) {
        if (account.held.total() == 0 || (onlyCallers && account.share != ClientShare::Callers)) {
            continue;
        }
        if (isWithoutProgress(account) && (stalled == nullptr || burden(account, now) > burden(*stalled, now))) {
            stalled = &account;
        }
        if (largest == nullptr || isEndedBefore(account, *largest)) {
            largest = &account;
        }
    }
    return stalled != nullptr ? stalled : largest;
}

ClientAccount *ClientBudget::chooseConnection(ClientShare share)
{
    const bool onlyCallers = share == ClientShare::Callers && accounts_.size() < limits_.connections;
    const TimePoint now = clock_.now();
    ClientAccount *chosen = nullptr;
    for (ClientAccount &account : accounts_) {
        if (!isWithoutProgress(account) || (onlyCallers && account.share != ClientShare::Callers)) {
            continue;
        }
        if (chosen == nullptr || burden(account, now) > burden(*chosen, now)) {
            chosen = &account;
        }
    }
    return chosen;
}

void ClientBudget::cutOff(ClientAccount &account, ClientEnd end)
{
    logEvent(LogEvent::ClientCutOff, "",
             {{"reason", clientEndName(end)},
              {"heldBytes", static_cast<std::int64_t>(account.held.total())},
              {"withoutProgressMs", clock_.now() - account.lastProgress},
              {"allHeldBytes", static_cast<std::int64_t>(held_.total())},
              {"connections", static_cast<std::int64_t>(accounts_.size())}});
    account.client->cutOff(end);
}

std::string_view clientEndName(ClientEnd end)
{
    static constexpr std::array<std::string_view, kClientEnds> kNames{
        "closed", "idle-timeout", "header-timeout", "request-timeout", "held-bytes", "connections"};
    return kNames.at(static_cast<std::size_t>(end));
}

} // namespace Hibiscus
