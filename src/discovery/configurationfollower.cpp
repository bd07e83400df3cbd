#include "discovery/configurationfollower.h"

#include "core/logevent.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

ConfigurationFollower::ConfigurationFollower(std::string key, Adopt adopt)
    : key_(std::move(key))
    , adopt_(std::move(adopt))
{
}

void ConfigurationFollower::receive(const ObjectListing &listing)
{
    for (const KeyedObject &entry : listing.objects) {
        if (entry.key == key_) {
            offer(entry.object.value, {listing.era, entry.object.version});
        }
    }
}

void ConfigurationFollower::receive(const ChangeBatch &batch)
{
    for (const ObjectChange &change : batch.changes) {
        if (change.key == key_ && !change.removed) {
            offer(change.object.value, {batch.era, change.object.version});
        }
    }
}

void ConfigurationFollower::offer(const std::string &value, StoreRevision revision)
{
    if (value == text_) {
        revision_ = std::max(revision_, revision);
        return;
    }
    const StoreHistory history = historyOf(revision, revision_);
    const bool isKnown = history == StoreHistory::Same && revision.number <= revision_.number;
    if (isKnown || !adopt_(value, revision.number, history)) {
        logEvent(LogEvent::ConfigurationKept, "",
                 {{"read", revision.number},
                  {"readEra", revision.era},
                  {"inForce", revision_.number},
                  {"inForceEra", revision_.era}});
        return;
    }
    text_ = value;
    revision_ = revision;
}

const std::string &ConfigurationFollower::text() const
{
    return text_;
}

StoreRevision ConfigurationFollower::revision() const
{
    return revision_;
}

} // namespace Hibiscus
