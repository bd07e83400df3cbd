#ifndef HIBISCUS_DIRECTORY_LEAVINGSERVERS_H
#define HIBISCUS_DIRECTORY_LEAVINGSERVERS_H

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Hibiscus
{

/**
 * Server processes that drain or have left. A process never returns from that, so what is recorded here outweighs
 * whatever a late check-in, an older entry of the store or another daemon says. The start of a process distinguishes it
 * from later ones of the same name.
 */
class LeavingServers
{
public:
    /** Remembers the last @p maximum processes. */
    explicit LeavingServers(std::size_t maximum);

    /** Records a process; true if that was not known. */
    bool record(const ServerName &name, std::int64_t startedAt, bool hasLeft);

    bool isLeaving(const ServerName &name, std::int64_t startedAt) const;
    bool hasLeft(const ServerName &name, std::int64_t startedAt) const;
    /** Whether the last recorded process of that name has left. */
    bool hasLeft(const ServerName &name) const;

private:
    struct Process {
        ServerName name;
        std::int64_t startedAt = 0;
        bool hasLeft = false;
    };

    const Process *find(const ServerName &name, std::int64_t startedAt) const;

    std::size_t maximum_;
    std::vector<Process> processes_; ///< Oldest first.
};

} // namespace Hibiscus

#endif
