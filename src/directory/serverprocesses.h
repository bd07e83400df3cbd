#ifndef HIBISCUS_DIRECTORY_SERVERPROCESSES_H
#define HIBISCUS_DIRECTORY_SERVERPROCESSES_H

#include "directory/serverregistration.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Hibiscus
{

/** How far a server process has come. It never goes back. */
enum class ProcessStage {
    Serving,
    Draining, ///< It serves what it has, and gets no new requests.
    Left, ///< It has ended or is about to; nothing that it says counts any more.
};

/** Stage that a registration states. */
ProcessStage stageOf(ServerState state);

/**
 * What has become of server processes. A process is known by its name and its start, and only goes forward, so what is
 * recorded here outweighs whatever a late check-in, an older entry of the store or another daemon says. A later process
 * of the same name begins anew; the earlier ones have left then.
 */
class ServerProcesses
{
public:
    /** Remembers the latest process of the last @p maximum names. */
    explicit ServerProcesses(std::size_t maximum);

    /** Records that a process has come to @p stage or further; true if that was not known. */
    bool record(const ServerName &name, std::int64_t startedAt, ProcessStage stage);

    ProcessStage stage(const ServerName &name, std::int64_t startedAt) const;

    /** Stage of the latest recorded process of that name. */
    ProcessStage latestStage(const ServerName &name) const;

    /** Start of the latest recorded process of that name; empty if there is none. */
    std::optional<std::int64_t> latestStart(const ServerName &name) const;

private:
    struct Process {
        std::int64_t startedAt = 0;
        ProcessStage stage = ProcessStage::Serving;
        std::uint64_t recordedAs = 0; ///< Number of the record that was made of it last.
    };

    void removeOldest();
    const Process *find(const ServerName &name) const;

    std::size_t maximum_;
    std::uint64_t records_ = 0;
    std::unordered_map<ServerName, Process> processes_; ///< Latest of each name.
};

} // namespace Hibiscus

#endif
