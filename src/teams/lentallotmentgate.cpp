#include "teams/lentallotmentgate.h"

#include <utility>

namespace Hibiscus
{

LentAllotmentGate::LentAllotmentGate(AllotmentHolder holder, const Clock &clock, Send send)
    : holder_(std::move(holder))
    , clock_(clock)
    , send_(std::move(send))
{
}

void LentAllotmentGate::admit(const TeamName &team, Callback callback)
{
    switch (holder_.admit(team)) {
    case AllotmentHolder::Verdict::Admitted:
        callback(admission(team));
        return;
    case AllotmentHolder::Verdict::Refused:
        callback(refusal(team));
        return;
    case AllotmentHolder::Verdict::Ask:
        break;
    }
    const Partition partition = partitionOf(team);
    Line &line = lines_.at(partition.value());
    line.waiting.push_back({team, std::move(callback), clock_.now()});
    if (!line.isAsking) {
        ask(partition);
    }
}

void LentAllotmentGate::giveBack(const TeamName &team)
{
    holder_.giveBack(team);
}

void LentAllotmentGate::setTeams(const std::vector<Team> &teams)
{
    holder_.setTeams(teams);
    std::erase_if(counts_, [this](const auto &entry) { return !holder_.isLimited(entry.first); });
}

void LentAllotmentGate::setLender(Partition partition, Incarnation lender)
{
    holder_.setLender(partition, lender);
}

void LentAllotmentGate::tick()
{
    for (unsigned number = 0; number < kPartitions; ++number) {
        Line &line = lines_.at(number);
        std::vector<Waiting> ended;
        while (!line.waiting.empty() && clock_.now() - line.waiting.front().since >= kLongestWait) {
            ended.push_back(std::move(line.waiting.front()));
            line.waiting.erase(line.waiting.begin());
            line.asked -= line.asked > 0 ? 1 : 0;
        }
        for (const Waiting &waiting : ended) {
            endWait(waiting);
        }
        if (!line.isAsking && holder_.isReportDue(Partition(number))) {
            ask(Partition(number));
        }
    }
}

void LentAllotmentGate::ask(Partition partition)
{
    Line &line = lines_.at(partition.value());
    line.isAsking = true;
    line.asked = line.waiting.size();
    std::map<TeamName, std::size_t> waiting;
    for (const Waiting &request : line.waiting) {
        ++waiting[request.team];
    }
    send_(partition, holder_.report(partition, waiting),
          [this, partition](const std::optional<AllotmentAnswer> &answer) { handleReply(partition, answer); });
}

void LentAllotmentGate::handleReply(Partition partition, const std::optional<AllotmentAnswer> &answer)
{
    Line &line = lines_.at(partition.value());
    line.isAsking = false;
    if (answer) {
        holder_.apply(partition, *answer);
    } else {
        holder_.fail(partition);
        line.asked = line.waiting.size();
    }
    std::vector<Waiting> asked(std::make_move_iterator(line.waiting.begin()),
                               std::make_move_iterator(line.waiting.begin() + static_cast<std::ptrdiff_t>(line.asked)));
    line.waiting.erase(line.waiting.begin(), line.waiting.begin() + static_cast<std::ptrdiff_t>(line.asked));
    line.asked = 0;
    for (const Waiting &waiting : asked) {
        endWait(waiting);
    }
    // A callback may have asked already.
    if (!line.waiting.empty() && !line.isAsking) {
        ask(partition);
    }
}

void LentAllotmentGate::endWait(const Waiting &waiting)
{
    waiting.callback(holder_.take(waiting.team) ? admission(waiting.team) : refusal(waiting.team));
}

AllotmentDecision LentAllotmentGate::admission(const TeamName &team)
{
    if (holder_.isLimited(team)) {
        ++counts_[team].admitted;
    }
    return holder_.admission(team);
}

AllotmentDecision LentAllotmentGate::refusal(const TeamName &team)
{
    const AllotmentDecision decision = holder_.refusal(team);
    AllotmentCounts &counts = counts_[team];
    ++(decision.refusal == ErrorKind::AllotmentUnknown ? counts.unknown : counts.refused);
    return decision;
}

} // namespace Hibiscus
