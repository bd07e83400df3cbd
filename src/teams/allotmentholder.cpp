#include "teams/allotmentholder.h"

#include "teams/allotmentterms.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** After a report without an answer, requests don't wait for a lender for this time. */
constexpr Millis kSilentTime{1000};
/** A daemon without tokens and without a share, whose lender doesn't answer, names this time. */
constexpr Millis kUnknownRetry{1000};

} // namespace

AllotmentHolder::AllotmentHolder(HostAddress self, Incarnation incarnation, const Clock &clock, RandomSource &random)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , clock_(clock)
    , random_(random)
{
}

void AllotmentHolder::setTeams(const std::vector<Team> &teams)
{
    allotments_.clear();
    for (const Team &team : teams) {
        if (!team.allotment.isUnlimited()) {
            allotments_[team.name] = team.allotment;
        }
    }
    std::erase_if(stocks_, [this](const auto &entry) { return !allotments_.contains(entry.first); });
    for (auto &[team, stock] : stocks_) {
        stock.setAllotment(allotments_[team]);
    }
}

void AllotmentHolder::setLender(Partition partition, Incarnation lender)
{
    Contact &current = contact(partition);
    if (current.lender == lender) {
        return;
    }
    current.lender = lender;
    current.hasFailed = false;
    current.sentAt = clock_.now() - AllotmentTerms::kReportInterval;
}

AllotmentHolder::Verdict AllotmentHolder::admit(const TeamName &team)
{
    const auto allotment = allotments_.find(team);
    if (allotment == allotments_.end()) {
        return Verdict::Admitted;
    }
    const TimePoint now = clock_.now();
    TeamStock &stock = findStock(team, allotment->second, now);
    stock.recordRequest(now);
    if (stock.take(now)) {
        return Verdict::Admitted;
    }
    return stock.isShort(now) || isSilent(contact(partitionOf(team))) ? Verdict::Refused : Verdict::Ask;
}

bool AllotmentHolder::take(const TeamName &team)
{
    const auto found = stocks_.find(team);
    // The team has no limit any more.
    return found == stocks_.end() ? !allotments_.contains(team) : found->second.take(clock_.now());
}

void AllotmentHolder::giveBack(const TeamName &team)
{
    const auto found = stocks_.find(team);
    if (found != stocks_.end()) {
        found->second.giveBack();
    }
}

AllotmentDecision AllotmentHolder::refusal(const TeamName &team) const
{
    const auto found = stocks_.find(team);
    const Contact &lender = contact(partitionOf(team));
    const bool hasNone = found == stocks_.end() || found->second.share() <= 0;
    if (hasNone && (lender.hasFailed || found == stocks_.end() || !found->second.isKnown())) {
        return {ErrorKind::AllotmentUnknown, kUnknownRetry, 1};
    }
    return {ErrorKind::OverAllotment, found->second.retryAfter(clock_.now()), found->second.usedShare()};
}

AllotmentDecision AllotmentHolder::admission(const TeamName &team) const
{
    const auto found = stocks_.find(team);
    return {std::nullopt, {}, found == stocks_.end() ? 0 : found->second.usedShare()};
}

bool AllotmentHolder::isReportDue(Partition partition) const
{
    const Contact &lender = contact(partition);
    const Millis sinceLast = clock_.now() - lender.sentAt;
    if (!hasLimits() || sinceLast < AllotmentTerms::kReportInterval) {
        return false;
    }
    const bool holds = std::any_of(stocks_.begin(), stocks_.end(),
                                   [&](const auto &entry) { return partitionOf(entry.first) == partition; });
    // A lender must learn that nothing is held any more, and that a daemon which holds nothing is in touch.
    return holds || lender.isHolding || lender.hasFailed || lender.knownTo != lender.lender
        || sinceLast >= AllotmentTerms::kContactInterval;
}

AllotmentReport AllotmentHolder::report(Partition partition, const std::map<TeamName, std::size_t> &waiting)
{
    dropIdle(partition);
    AllotmentReport report{self_, incarnation_, ++sequence_, {}};
    for (auto &[team, stock] : stocks_) {
        if (partitionOf(team) != partition) {
            continue;
        }
        const auto count = waiting.find(team);
        report.teams.push_back(stock.report(team, count == waiting.end() ? 0 : count->second, clock_.now()));
    }
    Contact &lender = contact(partition);
    lender.sentTo = lender.lender;
    lender.sentAt = clock_.now();
    lender.isHolding = !report.teams.empty();
    return report;
}

void AllotmentHolder::apply(Partition partition, const AllotmentAnswer &answer)
{
    Contact &lender = contact(partition);
    lender.knownTo = answer.lender;
    lender.hasFailed = false;
    std::map<TeamName, const AllotmentGrant *> grants;
    for (const AllotmentGrant &grant : answer.teams) {
        grants[grant.team] = &grant;
    }
    for (auto &[team, stock] : stocks_) {
        const auto grant = grants.find(team);
        if (grant != grants.end()) {
            stock.apply(*grant->second, lender.sentAt, clock_.now());
        } else if (partitionOf(team) == partition) {
            stock.applyUnknown();
        }
    }
}

void AllotmentHolder::fail(Partition partition)
{
    Contact &lender = contact(partition);
    if (lender.sentTo != lender.lender) {
        // It was a former lender that didn't answer.
        return;
    }
    lender.hasFailed = true;
    lender.failedAt = clock_.now();
}

AllotmentHolder::Contact &AllotmentHolder::contact(Partition partition)
{
    return contacts_.at(partition.value());
}

const AllotmentHolder::Contact &AllotmentHolder::contact(Partition partition) const
{
    return contacts_.at(partition.value());
}

bool AllotmentHolder::isSilent(const Contact &contact) const
{
    return contact.hasFailed && clock_.now() - contact.failedAt < kSilentTime;
}

TeamStock &AllotmentHolder::findStock(const TeamName &team, const Allotment &allotment, TimePoint now)
{
    const auto found = stocks_.find(team);
    if (found != stocks_.end()) {
        return found->second;
    }
    return stocks_.try_emplace(team, allotment, random_.fraction(), now).first->second;
}

/** Gives back what is held of teams that send nothing: the next report doesn't name them. While the lender doesn't
 * answer, the shares are kept, since there would be no others. */
void AllotmentHolder::dropIdle(Partition partition)
{
    if (contact(partition).hasFailed) {
        return;
    }
    const TimePoint now = clock_.now();
    std::erase_if(stocks_,
                  [&](const auto &entry) { return partitionOf(entry.first) == partition && entry.second.isIdle(now); });
}

} // namespace Hibiscus
