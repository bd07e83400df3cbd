#ifndef HIBISCUS_TEAMS_TEAMKEYS_H
#define HIBISCUS_TEAMS_TEAMKEYS_H

#include "teams/team.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** Index of the keys of all teams of one configuration. */
class TeamKeys
{
public:
    /** @p teams must outlive the index. @p seed is secret, so that callers can't choose keys whose hashes collide. */
    TeamKeys(const std::vector<Team> &teams, std::uint64_t seed);

    /** Team with @p key; null if there is none. */
    const Team *find(std::string_view key) const;

private:
    struct Entry {
        const ApiKey *key;
        const Team *team;
    };

    std::uint64_t seed_;
    std::size_t longestKey_ = 0;
    std::unordered_multimap<std::uint64_t, Entry> entries_; ///< By seeded hash.
};

/** Two different teams that have a key in common; empty if there are none. */
std::optional<std::pair<TeamName, TeamName>> findSharedKey(const std::vector<Team> &teams);

} // namespace Hibiscus

#endif
