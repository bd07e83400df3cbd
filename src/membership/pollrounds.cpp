#include "membership/pollrounds.h"

#include "membership/membershiplimits.h"

#include <algorithm>

namespace Hibiscus
{

PollRounds::PollRounds(std::uint64_t first)
    : current_(first)
{
}

std::uint64_t PollRounds::start(TimePoint now)
{
    rounds_.emplace(++current_, Round{now, {}});
    if (rounds_.size() > kMaxRounds) {
        rounds_.erase(rounds_.begin());
    }
    return current_;
}

std::uint64_t PollRounds::current() const
{
    return current_;
}

std::optional<TimePoint> PollRounds::sentAt(std::uint64_t round) const
{
    const auto found = rounds_.find(round);
    return found == rounds_.end() ? std::nullopt : std::optional(found->second.sentAt);
}

bool PollRounds::add(std::uint64_t round, const AdoptionReport &report)
{
    const auto found = rounds_.find(round);
    if (found == rounds_.end()) {
        return false;
    }
    std::vector<AdoptionReport> &reports = found->second.reports;
    if (std::ranges::any_of(reports, [&](const AdoptionReport &known) { return known.name == report.name; })) {
        return false;
    }
    reports.push_back(report);
    return true;
}

const std::vector<AdoptionReport> &PollRounds::reports(std::uint64_t round) const
{
    static const std::vector<AdoptionReport> none;
    const auto found = rounds_.find(round);
    return found == rounds_.end() ? none : found->second.reports;
}

} // namespace Hibiscus
