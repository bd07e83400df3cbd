#include "teams/teamtable.h"

#include <utility>

namespace Hibiscus
{

TeamTable::TeamTable(std::vector<Team> teams)
    : teams_(std::move(teams))
{
}

bool TeamTable::needsKeys() const
{
    return teams_.has_value();
}

const std::vector<Team> &TeamTable::all() const
{
    static const std::vector<Team> kNone;
    return teams_ ? *teams_ : kNone;
}

} // namespace Hibiscus
