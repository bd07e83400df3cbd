#ifndef HIBISCUS_TEAMS_TEAMTABLE_H
#define HIBISCUS_TEAMS_TEAMTABLE_H

#include "teams/team.h"

#include <optional>
#include <vector>

namespace Hibiscus
{

/**
 * The teams of one configuration, and whether its callers need a key.
 *
 * A configuration without a table asks for no keys. One with a table does, also if the table has no team: then no key
 * is valid.
 */
class TeamTable
{
public:
    /** A configuration without a table. */
    TeamTable() = default;
    /** A table of @p teams, of which there may be none. */
    explicit TeamTable(std::vector<Team> teams);

    /** Whether callers need the key of a team on routes that aren't public. */
    bool needsKeys() const;
    /** All teams; none without a table. */
    const std::vector<Team> &all() const;

    friend bool operator==(const TeamTable &, const TeamTable &) = default;

private:
    std::optional<std::vector<Team>> teams_;
};

} // namespace Hibiscus

#endif
