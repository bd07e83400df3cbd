#include "directory/serverdirectory.h"

#include <algorithm>
#include <utility>

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

/** Remembers a process that drains, and lets any other registration of it say so as well. */
ServerRegistration ServerDirectory::withKnownState(ServerRegistration registration)
{
    if (registration.state == ServerState::Draining) {
        markDraining(registration.name, registration.startedAt);
    } else if (leaving_.isLeaving(registration.name, registration.startedAt)) {
        registration.state = ServerState::Draining;
    }
    return registration;
}

bool ServerDirectory::markDraining(const ServerName &name, std::int64_t startedAt)
{
    leaving_.record(name, startedAt, false);
    const auto known = entries_.find(name);
    if (known == entries_.end() || known->second.registration.startedAt != startedAt) {
        return false;
    }
    return std::exchange(known->second.registration.state, ServerState::Draining) != ServerState::Draining;
}

bool ServerDirectory::apply(const ServerRegistration &registration, std::uint64_t revision)
{
    if (!isNewer(registration.name, revision)) {
        return false;
    }
    const DirectoryEntry entry{withKnownState(registration), revision};
    removed_.erase(registration.name);
    entries_.insert_or_assign(registration.name, entry);
    return true;
}

bool ServerDirectory::applyDirect(const ServerRegistration &received)
{
    const auto known = entries_.find(received.name);
    if (known == entries_.end()) {
        if (removed_.contains(received.name)) {
            return false;
        }
        entries_.emplace(received.name, DirectoryEntry{withKnownState(received), 0});
        return true;
    }
    const ServerRegistration old = known->second.registration;
    const ServerRegistration registration = withKnownState(received);
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
