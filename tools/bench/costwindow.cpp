#include "bench/costwindow.h"

#include <algorithm>
#include <iomanip>

namespace Hibiscus
{

namespace
{

double callsOf(const FakePlatform::Counts &counts)
{
    return static_cast<double>(counts.reads + counts.writes + counts.refused);
}

/** Growth of a counter that starts at 0 again when its process is restarted. */
double growth(double now, double before)
{
    return now >= before ? now - before : now;
}

} // namespace

CostWindow::CostWindow(ControlModel &model)
    : model_(model)
    , peaks_(model.members.size())
    , platformStart_(model.platform.counts())
    , platformLast_(platformStart_)
{
    for (const auto &member : model.members) {
        start_.push_back(member->cost);
    }
    last_ = start_;
}

void CostWindow::run(int seconds)
{
    for (int second = 0; second < seconds; ++second) {
        model_.run(1000);
        notePeaks();
    }
    seconds_ += seconds;
}

void CostWindow::notePeaks()
{
    for (std::size_t i = 0; i < peaks_.size(); ++i) {
        const ControlCost &cost = model_.members[i]->cost;
        peaks_[i].sent = std::max(peaks_[i].sent, growth(cost.bytesSent, last_[i].bytesSent));
        peaks_[i].received = std::max(peaks_[i].received, growth(cost.bytesReceived, last_[i].bytesReceived));
        peaks_[i].processor = std::max(peaks_[i].processor, growth(cost.processorMicros, last_[i].processorMicros));
        last_[i] = cost;
    }
    const FakePlatform::Counts &counts = model_.platform.counts();
    platformPeak_ = std::max(platformPeak_, callsOf(counts) - callsOf(platformLast_));
    platformLast_ = counts;
}

std::string CostWindow::roleOf(std::size_t member) const
{
    const ControlModel::Member &process = *model_.members[member];
    if (!process.alive) {
        return "stopped";
    }
    if (process.agent->isAgent()) {
        return "agent";
    }
    // Polls of half the rounds: a process that was a relay for a few rounds only is counted as a member.
    return growth(process.cost.pollsSent, start_[member].pollsSent) > seconds_ / 2.0 ? "relay" : "member";
}

CostWindow::RoleCost CostWindow::costOf(const std::string &role) const
{
    RoleCost result;
    for (std::size_t i = 0; i < peaks_.size(); ++i) {
        if (roleOf(i) != role) {
            continue;
        }
        const ControlCost &cost = model_.members[i]->cost;
        const double sent = growth(cost.bytesSent, start_[i].bytesSent);
        const double received = growth(cost.bytesReceived, start_[i].bytesReceived);
        ++result.count;
        result.sum.bytesSent += sent;
        result.sum.bytesReceived += received;
        result.sum.messagesSent += growth(cost.messagesSent, start_[i].messagesSent);
        result.sum.messagesReceived += growth(cost.messagesReceived, start_[i].messagesReceived);
        result.sum.processorMicros += growth(cost.processorMicros, start_[i].processorMicros);
        for (const auto &[kind, bytes] : cost.bytesByKind) {
            const auto before = start_[i].bytesByKind.find(kind);
            result.sum.bytesByKind[kind] += growth(bytes, before == start_[i].bytesByKind.end() ? 0 : before->second);
        }
        result.maxSent = std::max(result.maxSent, sent);
        result.maxReceived = std::max(result.maxReceived, received);
        result.peak.sent = std::max(result.peak.sent, peaks_[i].sent);
        result.peak.received = std::max(result.peak.received, peaks_[i].received);
        result.peak.processor = std::max(result.peak.processor, peaks_[i].processor);
    }
    return result;
}

void CostWindow::printRole(std::ostream &out, const std::string &role) const
{
    const RoleCost cost = costOf(role);
    if (cost.count == 0) {
        return;
    }
    const double divisor = static_cast<double>(cost.count) * seconds_;
    const auto rate = [divisor](double value) { return value / divisor; };
    out << std::fixed << std::setprecision(0) << "  " << std::left << std::setw(7) << role << std::right << std::setw(5)
        << cost.count << std::setw(9) << rate(cost.sum.bytesSent) << std::setw(9) << rate(cost.sum.bytesReceived)
        << std::setw(9) << cost.maxSent / seconds_ << std::setw(9) << cost.maxReceived / seconds_ << std::setw(10)
        << cost.peak.sent << std::setw(10) << cost.peak.received << std::setprecision(1) << std::setw(7)
        << rate(cost.sum.messagesSent) << std::setw(7) << rate(cost.sum.messagesReceived) << std::setprecision(0)
        << std::setw(8) << rate(cost.sum.processorMicros) << std::setw(9) << cost.peak.processor << "  ";
    for (const auto &[kind, bytes] : cost.sum.bytesByKind) {
        out << ' ' << kind << '=' << rate(bytes);
    }
    out << '\n';
}

void CostWindow::print(std::ostream &out, const std::string &title) const
{
    out << title << ", " << seconds_ << " s\n"
        << "  role   count  sentB/s  recvB/s maxsent/s maxrecv/s peaksentB peakrecvB  sent/s recv/s   us/s  peak us "
           " sent B/s by kind\n";
    for (const char *role : {"agent", "relay", "member"}) {
        printRole(out, role);
    }
    const FakePlatform::Counts &counts = model_.platform.counts();
    const double seconds = seconds_;
    out << std::setprecision(2) << "  platform reads/s "
        << static_cast<double>(counts.reads - platformStart_.reads) / seconds << " writes/s "
        << static_cast<double>(counts.writes - platformStart_.writes) / seconds << " refused/s "
        << static_cast<double>(counts.refused - platformStart_.refused) / seconds << " busiest second " << platformPeak_
        << " waiting watches " << model_.platform.waitingWatches() << " read B/s "
        << static_cast<double>(counts.readBytes - platformStart_.readBytes) / seconds << '\n';
}

} // namespace Hibiscus
