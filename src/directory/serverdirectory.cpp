#include "directory/serverdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Hibiscus
{

namespace
{

/** Number of removals that are remembered. After that many later removals, no delayed copy of a registration is
 * expected to arrive. */
constexpr std::size_t kMaximumRemovals = 4096;

} // namespace

bool ServerDirectory::isNewer(const ServerName &name, StoreRevision revision) const
{
    const auto entry = entries_.find(name);
    if (entry != entries_.end() && entry->second.revision >= revision) {
        return false;
    }
    const auto removal = removed_.find(name);
    return removal == removed_.end() || removal->second.revision <= revision;
}

/** Remembers a process that drains or has left, and lets any other registration of it say so as well. */
ServerRegistration ServerDirectory::withKnownState(ServerRegistration registration)
{
    processes_.record(registration.name, registration.startedAt, stageOf(registration.state));
    switch (processes_.stage(registration.name, registration.startedAt)) {
    case ProcessStage::Left:
        registration.state = ServerState::Left;
        break;
    case ProcessStage::Draining:
        registration.state = ServerState::Draining;
        break;
    case ProcessStage::Serving:
        break;
    }
    return registration;
}

bool ServerDirectory::markDraining(const ServerName &name, std::int64_t startedAt)
{
    processes_.record(name, startedAt, ProcessStage::Draining);
    const auto known = entries_.find(name);
    if (known == entries_.end()) {
        return false;
    }
    ServerRegistration &registration = known->second.registration;
    return std::exchange(registration.state, withKnownState(registration).state) != registration.state;
}

bool ServerDirectory::apply(const ServerRegistration &registration, StoreRevision revision)
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
    const ServerRegistration registration = withKnownState(received);
    const auto known = entries_.find(received.name);
    if (known == entries_.end()) {
        if (removed_.contains(received.name)) {
            return false;
        }
        entries_.emplace(received.name, DirectoryEntry{registration, {}});
        return true;
    }
    const ServerRegistration &old = known->second.registration;
    if (registration.startedAt < old.startedAt) {
        return false;
    }
    const bool isNewerServer = registration.startedAt > old.startedAt;
    const bool goesForward = stageOf(registration.state) > stageOf(old.state);
    const bool isNewerDaemon = registration.daemonStartedAt > old.daemonStartedAt;
    const bool isUpdateOfSameDaemon = registration.incarnation == old.incarnation && registration != old
        && stageOf(old.state) == ProcessStage::Serving;
    if (!isNewerServer && !goesForward && !isNewerDaemon && !isUpdateOfSameDaemon) {
        return false;
    }
    known->second.registration = registration;
    return true;
}

bool ServerDirectory::remove(const ServerName &name, StoreRevision revision)
{
    if (!isNewer(name, revision)) {
        return false;
    }
    Removal removal{revision, Incarnation(0)};
    const auto known = entries_.find(name);
    const bool wasKnown = known != entries_.end();
    if (wasKnown) {
        removal.incarnation = known->second.registration.incarnation;
        entries_.erase(known);
    }
    if (removed_.size() >= kMaximumRemovals) {
        removed_.erase(std::min_element(removed_.begin(), removed_.end(), [](const auto &a, const auto &b) {
            return a.second.revision < b.second.revision;
        }));
    }
    removed_.insert_or_assign(name, removal);
    return wasKnown;
}

/** Whether an entry of a listing is the one that was removed in an earlier era, and not written since. */
bool ServerDirectory::isFormer(const DirectoryEntry &listed) const
{
    const auto removal = removed_.find(listed.registration.name);
    return removal != removed_.end() && removal->second.revision.era < listed.revision.era
        && removal->second.incarnation == listed.registration.incarnation;
}

void ServerDirectory::replace(const std::vector<DirectoryEntry> &entries, StoreRevision revision)
{
    std::set<ServerName> listed;
    for (const DirectoryEntry &entry : entries) {
        listed.insert(entry.registration.name);
        if (!isFormer(entry)) {
            apply(entry.registration, entry.revision);
        }
    }
    std::vector<ServerName> missing;
    for (const auto &[name, entry] : entries_) {
        const bool mayBeMissing = entry.revision.era == revision.era || entry.revision.number == 0;
        if (!listed.contains(name) && mayBeMissing && entry.revision <= revision) {
            missing.push_back(name);
        }
    }
    for (const ServerName &name : missing) {
        // remove() needs a revision above that of the entry, which may be the revision of the listing.
        remove(name, {revision.era, revision.number + 1});
    }
}

bool ServerDirectory::removeUnconfirmed(std::uint64_t era)
{
    return std::erase_if(entries_, [era](const auto &entry) { return entry.second.revision.era < era; }) > 0;
}

const DirectoryEntry *ServerDirectory::find(const ServerName &name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace Hibiscus
