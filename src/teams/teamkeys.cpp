#include "teams/teamkeys.h"

#include "core/contenthash.h"

#include <algorithm>

namespace Hibiscus
{

TeamKeys::TeamKeys(const std::vector<Team> &teams, std::uint64_t seed)
    : seed_(seed)
{
    for (const Team &team : teams) {
        for (const ApiKey &key : team.keys) {
            longestKey_ = std::max(longestKey_, key.size());
            entries_.emplace(key.hash(seed_), Entry{&key, &team});
        }
    }
}

const Team *TeamKeys::find(std::string_view key) const
{
    if (key.empty() || key.size() > longestKey_) {
        return nullptr;
    }
    const auto [begin, end] = entries_.equal_range(stableHash(key, seed_));
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second.key->matches(key)) {
            return entry->second.team;
        }
    }
    return nullptr;
}

std::optional<std::pair<TeamName, TeamName>> findSharedKey(const std::vector<Team> &teams)
{
    std::unordered_multimap<std::uint64_t, std::pair<const ApiKey *, const Team *>> seen;
    for (const Team &team : teams) {
        for (const ApiKey &key : team.keys) {
            const std::uint64_t hash = key.hash(0);
            const auto [begin, end] = seen.equal_range(hash);
            for (auto other = begin; other != end; ++other) {
                const auto &[otherKey, otherTeam] = other->second;
                if (otherTeam != &team && *otherKey == key) {
                    return std::pair(otherTeam->name, team.name);
                }
            }
            seen.emplace(hash, std::pair(&key, &team));
        }
    }
    return std::nullopt;
}

} // namespace Hibiscus
