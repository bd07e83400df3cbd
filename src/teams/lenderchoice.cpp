#include "teams/lenderchoice.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** Time between two probes of a daemon that doesn't answer. */
constexpr Millis kProbeInterval{1000};
/** Time between probes of any daemons that were passed over. */
constexpr Millis kSilentProbeInterval{200};
/** Daemons in line that are probed at once while a lender is searched. */
constexpr std::size_t kProbedInLine = 8;

} // namespace

void LenderChoice::setDaemons(const Daemons &daemons)
{
    if (daemons == daemons_) {
        return;
    }
    std::erase_if(contacts_, [&](const auto &entry) {
        const auto listed = daemons.find(entry.first);
        const auto known = daemons_.find(entry.first);
        return listed == daemons.end() || known == daemons_.end() || listed->second != known->second;
    });
    std::erase_if(silent_, [this](const HostAddress &daemon) { return !contacts_.contains(daemon); });
    daemons_ = daemons;
    for (unsigned number = 0; number < kPartitions; ++number) {
        ranked_.at(number) = rankedLenders(Partition(number), daemons_);
    }
    choose();
}

Incarnation LenderChoice::incarnation(Partition partition) const
{
    const std::optional<HostAddress> &chosen = lender(partition);
    return chosen ? daemons_.at(*chosen) : Incarnation();
}

void LenderChoice::recordAnswer(const HostAddress &daemon, TimePoint now)
{
    if (!daemons_.contains(daemon)) {
        return;
    }
    contacts_[daemon] = {now, std::nullopt};
    if (silent_.erase(daemon) > 0) {
        choose();
    }
}

void LenderChoice::recordFailure(const HostAddress &daemon, TimePoint now)
{
    if (!daemons_.contains(daemon)) {
        return;
    }
    contacts_[daemon].probedAt = now;
    if (!isAnswering(daemon, now) && silent_.insert(daemon).second) {
        choose();
    }
}

std::vector<HostAddress> LenderChoice::takeDueProbes(TimePoint now)
{
    std::vector<HostAddress> due;
    if (now - silentProbedAt_ >= kSilentProbeInterval) {
        if (const auto silent = longestSilent(now)) {
            contacts_[*silent].probedAt = now;
            due.push_back(*silent);
            silentProbedAt_ = now;
        }
    }
    for (unsigned number = 0; number < kPartitions; ++number) {
        for (const HostAddress &daemon : nextInLine(Partition(number), now)) {
            contacts_[daemon].probedAt = now;
            due.push_back(daemon);
        }
    }
    return due;
}

/** Of the daemons that were passed over and would lend if they answered, the one that was probed the longest ago. */
std::optional<HostAddress> LenderChoice::longestSilent(TimePoint now) const
{
    std::optional<HostAddress> longest;
    for (const HostAddress &daemon : silent_) {
        const auto probedAt = [this](const HostAddress &name) { return contacts_.at(name).probedAt; };
        const bool isLonger = !longest || probedAt(daemon) < probedAt(*longest);
        if (isLonger && isProbeDue(daemon, now) && outranksLender(daemon)) {
            longest = daemon;
        }
    }
    return longest;
}

/** Daemons that follow a lender which hasn't answered lately. */
std::vector<HostAddress> LenderChoice::nextInLine(Partition partition, TimePoint now) const
{
    std::vector<HostAddress> next;
    const std::optional<HostAddress> &chosen = lender(partition);
    if (!chosen || isAnswering(*chosen, now)) {
        return next;
    }
    std::size_t inLine = 0;
    for (const HostAddress &daemon : ranked_.at(partition.value())) {
        if (silent_.contains(daemon) || daemon == *chosen) {
            continue;
        }
        if (isAnswering(daemon, now) || ++inLine > kProbedInLine) {
            break;
        }
        if (isProbeDue(daemon, now)) {
            next.push_back(daemon);
        }
    }
    return next;
}

bool LenderChoice::isAnswering(const HostAddress &daemon, TimePoint now) const
{
    const auto found = contacts_.find(daemon);
    return found != contacts_.end() && found->second.answeredAt && now - *found->second.answeredAt < kFailoverAfter;
}

bool LenderChoice::isProbeDue(const HostAddress &daemon, TimePoint now) const
{
    const auto found = contacts_.find(daemon);
    return found == contacts_.end() || !found->second.probedAt || now - *found->second.probedAt >= kProbeInterval;
}

void LenderChoice::choose()
{
    for (unsigned number = 0; number < kPartitions; ++number) {
        const std::vector<HostAddress> &ranked = ranked_.at(number);
        const auto answering = std::find_if(ranked.begin(), ranked.end(),
                                            [this](const HostAddress &daemon) { return !silent_.contains(daemon); });
        std::optional<HostAddress> &lender = lenders_.at(number);
        lender.reset();
        if (!ranked.empty()) {
            lender = answering == ranked.end() ? ranked.front() : *answering;
        }
    }
}

bool LenderChoice::outranksLender(const HostAddress &daemon) const
{
    for (unsigned number = 0; number < kPartitions; ++number) {
        const Partition partition(number);
        if (lenderRank(partition, daemon) >= lenderRank(partition, *lenders_.at(number))) {
            return true;
        }
    }
    return false;
}

} // namespace Hibiscus
