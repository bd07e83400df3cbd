#include "discovery/ownregistrations.h"

#include <utility>

namespace Hibiscus
{

OwnRegistrations::OwnRegistrations(HostAddress self, const Clock &clock, RegistrationWriter &writer,
                                   Callbacks callbacks)
    : self_(std::move(self))
    , writer_(writer)
    , callbacks_(std::move(callbacks))
    , former_(self_, clock)
{
}

void OwnRegistrations::put(const ServerRegistration &current, RegistrationWriter::Done done)
{
    withdrawn_.erase(current.name);
    former_.forget(current.name);
    writer_.put(current, std::move(done));
}

void OwnRegistrations::retire(const ServerRegistration &left, RegistrationWriter::Done done)
{
    former_.remember(left);
    entries_.erase(left.name);
    writer_.put(left, std::move(done));
}

void OwnRegistrations::withdraw(const ServerName &name, RegistrationWriter::Done done)
{
    withdrawn_.insert(name);
    writer_.remove(name, std::move(done));
}

void OwnRegistrations::withdrawAllExcept(const ServerName &current)
{
    for (const ServerName &name : entries_) {
        if (name != current) {
            withdraw(name);
        }
    }
}

void OwnRegistrations::withdrawAll()
{
    for (const ServerName &name : entries_) {
        withdraw(name);
    }
}

void OwnRegistrations::beginListing()
{
    entries_.clear();
}

bool OwnRegistrations::handleEntry(const ServerRegistration &registration)
{
    if (registration.daemon != self_) {
        return false;
    }
    callbacks_.found(registration);
    if (registration.state == ServerState::Left) {
        entries_.erase(registration.name);
        const std::optional<ServerRegistration> current = callbacks_.current();
        const bool isPredecessor = current && current->name == registration.name;
        return !isPredecessor && former_.remember(registration);
    }
    entries_.insert(registration.name);
    // The local server may check in with a restarted daemon before the daemon has read the entries that the previous
    // process left in the store.
    const std::optional<ServerRegistration> current = callbacks_.current();
    if (current && current->name != registration.name && registration.startedAt <= current->startedAt) {
        withdraw(registration.name);
    }
    return false;
}

void OwnRegistrations::entryRemoved(const ServerName &name)
{
    entries_.erase(name);
}

void OwnRegistrations::restore(const ServerRegistration &stored)
{
    const std::optional<ServerRegistration> current = callbacks_.current();
    const bool isOlderWriteOfThisProcess =
        current && current->name == stored.name && current->incarnation == stored.incarnation && *current != stored;
    if (isOlderWriteOfThisProcess && !writer_.isPending(stored.name)) {
        callbacks_.publish();
    }
    const auto left = former_.own().find(stored.name);
    const bool isOlderThanLeave = left != former_.own().end() && stored.startedAt <= left->second.startedAt
        && stored.state != ServerState::Left && stored.daemon == self_;
    if (isOlderThanLeave && !writer_.isPending(stored.name)) {
        writer_.put(left->second);
    }
}

void OwnRegistrations::writeAgain(const ObjectListing &listing)
{
    writer_.forgetVersions();
    const std::optional<ServerRegistration> current = callbacks_.current();
    for (const auto &[name, left] : former_.own()) {
        writer_.put(left);
    }
    bool isListed = false;
    for (const KeyedObject &entry : listing.objects) {
        const std::optional<ServerName> name = serverOfKey(entry.key);
        if (!name) {
            continue;
        }
        if (current && *name == current->name) {
            isListed = parseRegistration(*name, entry.object.value) == current;
        } else if (withdrawn_.contains(*name)) {
            writer_.remove(*name);
        }
    }
    if (current && !isListed) {
        callbacks_.publish();
    }
}

const std::map<ServerName, ServerRegistration> &OwnRegistrations::former() const
{
    return former_.own();
}

void OwnRegistrations::removeExpired(const ServerDirectory &directory)
{
    for (const ServerRegistration &left : former_.takeExpired(directory)) {
        writer_.removeFormer(left.name, left.startedAt);
    }
}

} // namespace Hibiscus
