#include "directory/serverdirectory.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** Number of removals that are remembered. After that many later removals, no delayed copy of a registration is
 * expected to arrive. */
constexpr std::size_t kMaximumRemovals = 4096;

} // namespace

bool ServerDirectory::isNewer(const ServerName &name, std::uint64_t revision) const
{
    const auto entry = entries_.find(name);
    if (entry != entries_.end() && entry->second.revision >= revision) {
        return false;
    }
    const auto removal = removed_.find(name);
    return removal == removed_.end() || removal->second <= revision;
}

bool ServerDirectory::apply(const ServerRegistration &registration, std::uint64_t revision)
{
    if (!isNewer(registration.name, revision)) {
        return false;
    }
    removed_.erase(registration.name);
    entries_.insert_or_assign(registration.name, DirectoryEntry{registration, revision});
    return true;
}

bool ServerDirectory::applyDirect(const ServerRegistration &registration)
{
    const auto known = entries_.find(registration.name);
    if (known == entries_.end()) {
        if (removed_.contains(registration.name)) {
            return false;
        }
        entries_.emplace(registration.name, DirectoryEntry{registration, 0});
        return true;
    }
    const ServerRegistration &old = known->second.registration;
    const bool startsDraining = old.state != ServerState::Draining && registration.state == ServerState::Draining;
    const bool isNewerProcess = registration.daemonStartedAt > old.daemonStartedAt;
    const bool isUpdateOfSameProcess =
        registration.incarnation == old.incarnation && registration != old && old.state != ServerState::Draining;
    if (registration.startedAt < old.startedAt || (!startsDraining && !isNewerProcess && !isUpdateOfSameProcess)) {
        return false;
    }
    known->second.registration = registration;
    return true;
}

bool ServerDirectory::remove(const ServerName &name, std::uint64_t revision)
{
    if (!isNewer(name, revision)) {
        return false;
    }
    const bool wasKnown = entries_.erase(name) > 0;
    if (removed_.size() >= kMaximumRemovals) {
        removed_.erase(std::min_element(removed_.begin(), removed_.end(),
                                        [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    removed_.insert_or_assign(name, revision);
    return wasKnown;
}

void ServerDirectory::replace(const std::vector<DirectoryEntry> &entries, std::uint64_t revision)
{
    std::map<ServerName, bool> listed;
    for (const DirectoryEntry &entry : entries) {
        listed[entry.registration.name] = true;
        apply(entry.registration, entry.revision);
    }
    std::vector<ServerName> missing;
    for (const auto &[name, entry] : entries_) {
        if (!listed.contains(name) && entry.revision <= revision) {
            missing.push_back(name);
        }
    }
    for (const ServerName &name : missing) {
        // remove() needs a revision above that of the entry, which may be the revision of the listing.
        remove(name, revision + 1);
    }
}

const DirectoryEntry *ServerDirectory::find(const ServerName &name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace Hibiscus
