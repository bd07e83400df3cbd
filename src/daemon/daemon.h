#ifndef HIBISCUS_DAEMON_DAEMON_H
#define HIBISCUS_DAEMON_DAEMON_H

#include "config/daemonsettings.h"

#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** One hibiscusd process: its listeners, tables, timers and workers. */
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Opens the listeners and starts the workers. Returns the reason if a listener can't be opened. */
    tl::expected<void, std::string> start();

    /** Refuses new work; requests in progress continue. */
    void drain();

    /** Number of requests in progress, of callers and on the local backend server. */
    std::size_t inFlight() const;

    /** Whether a newer process is registered under this server's name, so that this one must exit. */
    bool superseded() const;

    /** Closes the listeners and ends the workers. */
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
