#include "teams/allotmentledger.h"

#include "teams/allotmentterms.h"

#include <algorithm>
#include <set>

namespace Hibiscus
{

namespace
{

/** Silence of holders is noticed this often while reports arrive. */
constexpr Millis kSettleInterval{50};

} // namespace

AllotmentLedger::AllotmentLedger(Incarnation self, const Clock &clock)
    : self_(self)
    , clock_(clock)
{
}

void AllotmentLedger::setTeams(const std::vector<Team> &teams)
{
    allotments_.clear();
    for (const Team &team : teams) {
        allotments_[team.name] = team.allotment;
    }
    std::erase_if(ledgers_, [this](const auto &entry) { return !allotments_.contains(entry.first); });
    for (auto &[team, ledger] : ledgers_) {
        ledger.setAllotment(allotments_[team], clock_.now());
    }
    for (const auto &[partition, lending] : lendings_) {
        addLedgers(partition);
    }
}

void AllotmentLedger::setDaemons(const Daemons &daemons)
{
    daemons_ = daemons;
}

void AllotmentLedger::begin(Partition partition)
{
    lendings_[partition] = {clock_.now(), clock_.now() - kSettleInterval, {}};
    std::erase_if(ledgers_, [&](const auto &entry) { return partitionOf(entry.first) == partition; });
    addLedgers(partition);
}

void AllotmentLedger::tick()
{
    for (auto &[partition, lending] : lendings_) {
        settle(partition, lending);
    }
}

AllotmentAnswer AllotmentLedger::lend(Partition partition, const AllotmentReport &report)
{
    if (!lendings_.contains(partition)) {
        begin(partition);
    }
    Lending &lending = lendings_[partition];
    AllotmentAnswer answer{self_, {}};
    if (isLate(lending, report)) {
        return answer;
    }
    lending.heard[report.holder] = {report.incarnation, report.sequence};
    releaseOthers(partition, report);
    if (clock_.now() - lending.settledAt >= kSettleInterval) {
        settle(partition, lending);
    }
    for (const AllotmentDemand &demand : report.teams) {
        const auto ledger = ledgers_.find(demand.team);
        if (ledger != ledgers_.end() && partitionOf(demand.team) == partition) {
            answer.teams.push_back(ledger->second.lend(report.holder, report.incarnation, demand, clock_.now()));
        }
    }
    return answer;
}

bool AllotmentLedger::isLate(const Lending &lending, const AllotmentReport &report) const
{
    const auto last = lending.heard.find(report.holder);
    return last != lending.heard.end() && last->second.incarnation == report.incarnation
        && report.sequence <= last->second.sequence;
}

/** Takes back what the holder held of the teams that its report doesn't name. */
void AllotmentLedger::releaseOthers(Partition partition, const AllotmentReport &report)
{
    std::set<TeamName> named;
    for (const AllotmentDemand &demand : report.teams) {
        named.insert(demand.team);
    }
    for (auto &[team, ledger] : ledgers_) {
        if (partitionOf(team) == partition && !named.contains(team)) {
            ledger.release(report.holder);
        }
    }
}

TeamLedger::View AllotmentLedger::view(const Lending &lending) const
{
    const auto unheard = std::count_if(daemons_.begin(), daemons_.end(),
                                       [&](const auto &daemon) { return !lending.heard.contains(daemon.first); });
    // As long as the daemons aren't known, none of them has been heard.
    const double part = daemons_.empty() ? 1 : static_cast<double>(unheard) / static_cast<double>(daemons_.size());
    return {part, clock_.now() - lending.begunAt < AllotmentTerms::kTakeOver,
            [this](const HostAddress &holder, Incarnation incarnation) {
                const auto found = daemons_.find(holder);
                if (found == daemons_.end()) {
                    return TeamLedger::Presence::Unlisted;
                }
                return found->second == incarnation ? TeamLedger::Presence::Listed : TeamLedger::Presence::Replaced;
            }};
}

void AllotmentLedger::settle(Partition partition, Lending &lending)
{
    lending.settledAt = clock_.now();
    const TeamLedger::View known = view(lending);
    for (auto &[team, ledger] : ledgers_) {
        if (partitionOf(team) == partition) {
            ledger.settle(known, clock_.now());
        }
    }
}

void AllotmentLedger::addLedgers(Partition partition)
{
    for (const auto &[team, allotment] : allotments_) {
        if (partitionOf(team) == partition) {
            ledgers_.try_emplace(team, allotment, clock_.now());
        }
    }
}

} // namespace Hibiscus
