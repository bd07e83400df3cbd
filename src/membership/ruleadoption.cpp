#include "membership/ruleadoption.h"

#include "membership/membershiplimits.h"

#include <algorithm>
#include <set>

namespace Hibiscus
{

void RuleAdoption::setRoster(ConfigVersion version, std::vector<ServerName> roster)
{
    rosters_[version] = std::move(roster);
    if (rosters_.size() > kMaxRosters) {
        rosters_.erase(rosters_.begin());
    }
}

void RuleAdoption::setConfirmed(ConfigVersion version, std::vector<ServerName> roster)
{
    if (version < confirmed_) {
        return;
    }
    confirmed_ = version;
    confirmedRoster_ = std::move(roster);
    // The adopted version's roster is kept even when another agent has confirmed a newer version.
    while (rosters_.size() > 1 && rosters_.begin()->first < confirmed_) {
        rosters_.erase(rosters_.begin());
    }
    for (auto &[name, observation] : observations_) {
        const ConfigVersion last = observation.adoptedBy.rbegin()->first;
        std::erase_if(observation.adoptedBy,
                      [&](const auto &item) { return item.first <= confirmed_ && item.first != last; });
    }
}

void RuleAdoption::report(const AdoptionReport &report, TimePoint roundSentAt, TimePoint now)
{
    if (!report.counts) {
        observations_.erase(report.name);
        return;
    }
    Observation &observation = observations_[report.name];
    if (observation.incarnation != report.incarnation) {
        observation = {report.incarnation, {}, roundSentAt};
    }
    observation.lastRound = std::max(observation.lastRound, roundSentAt);
    if (observation.adoptedBy.empty() || observation.adoptedBy.rbegin()->first < report.adopted) {
        observation.adoptedBy.emplace(report.adopted, now);
    }
}

bool RuleAdoption::majorityFresh(const std::vector<AdoptionReport> &round) const
{
    if (rosters_.empty()) {
        return false;
    }
    const auto &[version, members] = *rosters_.rbegin();
    std::set<ServerName> counted;
    for (const AdoptionReport &report : round) {
        if (report.counts && report.adopted <= version && std::ranges::count(members, report.name) > 0) {
            counted.insert(report.name);
        }
    }
    return isMajority(counted.size(), members.size());
}

bool RuleAdoption::settledMajority(const std::vector<ServerName> &roster, ConfigVersion version) const
{
    struct Span {
        TimePoint adoptedBy;
        TimePoint lastRound;
    };
    std::vector<Span> spans;
    for (const ServerName &name : roster) {
        const auto observation = observations_.find(name);
        if (observation == observations_.end()) {
            continue;
        }
        const auto adoption = observation->second.adoptedBy.lower_bound(version);
        if (adoption != observation->second.adoptedBy.end()) {
            spans.push_back({adoption->second, observation->second.lastRound});
        }
    }
    // Some instant must lie after the adoption by a majority and L plus 10% before the last answers of the same one.
    return std::ranges::any_of(spans, [&](const Span &last) {
        const auto count = std::ranges::count_if(spans, [&](const Span &span) {
            return span.adoptedBy <= last.adoptedBy && span.lastRound >= last.adoptedBy + kSettleTime;
        });
        return isMajority(static_cast<std::size_t>(count), roster.size());
    });
}

bool RuleAdoption::settled(ConfigVersion version) const
{
    const std::vector<ServerName> &own = rosters_.at(version);
    if (own.empty() && confirmedRoster_.empty()) {
        return false;
    }
    if (!confirmedRoster_.empty() && !settledMajority(confirmedRoster_, version)) {
        return false;
    }
    return std::all_of(rosters_.lower_bound(confirmed_), rosters_.upper_bound(version),
                       [&](const auto &item) { return item.second.empty() || settledMajority(item.second, version); });
}

std::optional<ConfigVersion> RuleAdoption::confirmable() const
{
    for (auto item = rosters_.rbegin(); item != rosters_.rend() && item->first > confirmed_; ++item) {
        if (settled(item->first)) {
            return item->first;
        }
    }
    return std::nullopt;
}

ConfigVersion RuleAdoption::confirmed() const
{
    return confirmed_;
}

std::vector<ServerName> RuleAdoption::rosterOf(ConfigVersion version) const
{
    const auto found = rosters_.find(version);
    return found == rosters_.end() ? std::vector<ServerName>() : found->second;
}

const std::vector<ServerName> &RuleAdoption::roster() const
{
    static const std::vector<ServerName> none;
    return rosters_.empty() ? none : rosters_.rbegin()->second;
}

bool isAccepted(ConfigVersion version, const std::vector<FailureDomainName> &inventoryDomains,
                const std::map<FailureDomainName, ConfigVersion> &confirmed)
{
    return std::ranges::all_of(inventoryDomains, [&](const auto &domain) { return confirmed.contains(domain); })
        && std::ranges::all_of(confirmed, [&](const auto &item) { return item.second >= version; });
}

} // namespace Hibiscus
