#include "daemon/teamcounters.h"

namespace Hibiscus
{

namespace
{

/** @p text as it is written between the quotes of a label. */
std::string escapedLabel(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

} // namespace

void TeamCounters::add(const TeamName &team, const std::string &result)
{
    const bool hasRoom = calls_.contains(team.value()) || calls_.size() < kMaximumTeams;
    ++calls_[hasRoom ? team.value() : kOther][result];
}

void TeamCounters::write(std::ostream &out) const
{
    if (calls_.empty()) {
        return;
    }
    out << "# TYPE hibiscus_team_calls_total counter\n";
    for (const auto &[team, results] : calls_) {
        for (const auto &[result, count] : results) {
            out << "hibiscus_team_calls_total{team=\"" << escapedLabel(team) << "\",result=\"" << result << "\"} "
                << count << '\n';
        }
    }
}

} // namespace Hibiscus
