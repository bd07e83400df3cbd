#ifndef HIBISCUS_DISCOVERY_CONFIGURATIONFOLLOWER_H
#define HIBISCUS_DISCOVERY_CONFIGURATIONFOLLOWER_H

#include "core/storerevision.h"
#include "platform/objectstore.h"

#include <functional>
#include <string>

namespace Hibiscus
{

/** Keeps the configuration in force, in its stored form, and decides what replaces it. */
class ConfigurationFollower
{
public:
    /**
     * Applies a configuration in its stored form; false if it is invalid or not later than the one in force.
     * @p version is that of the object in the store, which tells which of two is later only within one history.
     */
    using Adopt = std::function<bool(const std::string &value, std::uint64_t version, StoreHistory history)>;

    /** @p key is that of the object that holds the configuration, as "<kind>/<name>". */
    ConfigurationFollower(std::string key, Adopt adopt);

    void receive(const ObjectListing &listing);
    void receive(const ChangeBatch &batch);

    /** Adopts @p value, which the store held at @p revision, unless the configuration in force is as late. */
    void offer(const std::string &value, StoreRevision revision);

    /** Stored form of the configuration in force; empty if there is none. */
    const std::string &text() const;
    StoreRevision revision() const;

private:
    std::string key_;
    Adopt adopt_;
    std::string text_;
    StoreRevision revision_;
};

} // namespace Hibiscus

#endif
