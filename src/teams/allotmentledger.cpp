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
/** A lender that no daemon reports to for this long is no lender any more. */
constexpr Millis kEndAfter{60000};
/** A daemon that hasn't been heard for this long is gone for good: far longer than hosts are cut off from each other.
 */
constexpr Millis kGoneAfter{24 * 3600000};
/** A daemon that is out of touch for longer than this is expected to know of all that are listed. */
constexpr Millis kLongestCut{3600000};

/** Daemons that report to a lender. */
struct Counts {
    std::size_t held = 0; ///< Whose parts the lender lends.
    std::size_t coming = 0; ///< Whose parts another lender may still count on.

    void add(bool isHeld)
    {
        ++(isHeld ? held : coming);
    }
    std::size_t sum() const
    {
        return held + coming;
    }
    /** Their parts of an allotment that @p all daemons own; of those that are held at most @p most. */
    TeamLedger::Parts parts(std::size_t all, double most) const
    {
        const double ownPart = 1 / static_cast<double>(all);
        return {std::min(most, ownPart * static_cast<double>(held)), ownPart * static_cast<double>(coming)};
    }
};

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
    std::map<HostAddress, ListedDaemon> listed;
    for (const auto &[daemon, incarnation] : daemons) {
        const auto known = daemons_.find(daemon);
        const bool isKnown = known != daemons_.end() && known->second.incarnation == incarnation;
        listed[daemon] = {incarnation, isKnown ? known->second.since : clock_.now()};
    }
    daemons_ = std::move(listed);
    for (auto &[partition, lending] : lendings_) {
        std::erase_if(lending.contacts, [this](const auto &entry) {
            return !daemons_.contains(entry.first) && clock_.now() - entry.second.heardAt > kEndAfter;
        });
    }
}

void AllotmentLedger::tick()
{
    std::vector<Partition> unused;
    for (auto &[partition, lending] : lendings_) {
        settle(partition, lending);
        if (clock_.now() - lending.heardAt > kEndAfter) {
            unused.push_back(partition);
        }
    }
    for (const Partition partition : unused) {
        end(partition);
    }
}

AllotmentAnswer AllotmentLedger::lend(Partition partition, const AllotmentReport &report)
{
    Lending &lending = findLending(partition);
    AllotmentAnswer answer{self_, {}};
    if (isLate(lending, report)) {
        return answer;
    }
    const TeamLedger::Contact contact = recordContact(lending, report);
    releaseOthers(partition, report);
    if (clock_.now() - lending.settledAt >= kSettleInterval) {
        settle(partition, lending);
    }
    for (const AllotmentDemand &demand : report.teams) {
        const auto found = ledgers_.find(demand.team);
        if (found == ledgers_.end() || partitionOf(demand.team) != partition) {
            continue;
        }
        TeamLedger &ledger = found->second;
        AllotmentGrant grant = ledger.lend(report.holder, contact, demand, clock_.now());
        if (ledger.allotment().isUnlimited() || ledger.lendablePart() > 0) {
            answer.teams.push_back(std::move(grant));
        }
    }
    return answer;
}

AllotmentLedger::Lending &AllotmentLedger::findLending(Partition partition)
{
    const auto [found, isNew] = lendings_.try_emplace(partition);
    if (isNew) {
        found->second.begunAt = clock_.now();
        found->second.settledAt = clock_.now() - kSettleInterval;
        found->second.heardAt = clock_.now();
        addLedgers(partition);
    }
    return found->second;
}

void AllotmentLedger::end(Partition partition)
{
    lendings_.erase(partition);
    std::erase_if(ledgers_, [&](const auto &entry) { return partitionOf(entry.first) == partition; });
}

bool AllotmentLedger::isLate(const Lending &lending, const AllotmentReport &report)
{
    const auto last = lending.contacts.find(report.holder);
    return last != lending.contacts.end() && last->second.incarnation == report.incarnation
        && report.sequence <= last->second.sequence;
}

TeamLedger::Contact AllotmentLedger::recordContact(Lending &lending, const AllotmentReport &report) const
{
    const TimePoint now = clock_.now();
    const auto [found, isFirst] = lending.contacts.try_emplace(report.holder);
    Contact &contact = found->second;
    const bool isNew = isFirst || now - contact.heardAt > AllotmentTerms::kContactGap;
    contact = {report.incarnation, report.sequence, isNew ? now : contact.since, now};
    lending.heardAt = now;
    return {contact.since, isNew};
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

TeamLedger::View AllotmentLedger::view(Lending &lending) const
{
    const TimePoint now = clock_.now();
    Counts all;
    Counts inTouch;
    std::size_t present = 0; // Listed, and not known to be gone.
    for (const auto &[daemon, listed] : daemons_) {
        const auto found = lending.contacts.find(daemon);
        const bool isHeard = found != lending.contacts.end();
        const Millis silent = now - (isHeard ? found->second.heardAt : lending.begunAt);
        if (std::min(silent, now - listed.since) > kGoneAfter) {
            continue;
        }
        ++present;
        if (!isHeard || silent > AllotmentTerms::kReserveTime) {
            continue;
        }
        const bool isHeld = now - found->second.since >= AllotmentTerms::kOwnPartAfter;
        all.add(isHeld);
        if (silent <= AllotmentTerms::kOutOfTouchAfter) {
            inTouch.add(isHeld);
        }
    }
    // As long as the daemons aren't known, all is reserved for them.
    if (present == 0) {
        return {};
    }
    const bool isComplete = inTouch.sum() == present;
    updateFewest(lending, present, isComplete);
    // Others may not know of all daemons yet, and so count on larger parts.
    const double others = static_cast<double>(present - all.held) / static_cast<double>(lending.fewestDaemons);
    const double most = std::max(0.0, 1 - others);
    return {isComplete, all.parts(present, most), inTouch.parts(present, most)};
}

/** Records how few daemons those may know of that are out of touch. */
void AllotmentLedger::updateFewest(Lending &lending, std::size_t daemons, bool isComplete) const
{
    const bool isFewer = lending.fewestDaemons == 0 || daemons <= lending.fewestDaemons;
    if (isFewer || isComplete || clock_.now() - lending.fewestAt > kLongestCut) {
        lending.fewestDaemons = daemons;
        lending.fewestAt = clock_.now();
    }
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
