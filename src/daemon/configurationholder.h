#ifndef HIBISCUS_DAEMON_CONFIGURATIONHOLDER_H
#define HIBISCUS_DAEMON_CONFIGURATIONHOLDER_H

#include "config/configuration.h"

#include <memory>
#include <mutex>

namespace Hibiscus
{

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/** The current configuration of this process. A reader keeps the one that it got from current(). */
class ConfigurationHolder
{
public:
    /** Null until the first configuration was installed. */
    ConfigurationPtr current() const
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }

    void install(ConfigurationPtr configuration)
    {
        const std::lock_guard lock(mutex_);
        current_ = std::move(configuration);
    }

private:
    mutable std::mutex mutex_;
    ConfigurationPtr current_;
};

} // namespace Hibiscus

#endif
