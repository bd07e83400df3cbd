#ifndef HIBISCUS_PLATFORM_STANDIN_CALLCOUNTER_H
#define HIBISCUS_PLATFORM_STANDIN_CALLCOUNTER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Hibiscus
{

/** Counts the calls of the object API in the way in which the platform's rate limits count them. Thread-safe. */
class CallCounter
{
public:
    /** Counts a call when it arrives; a watch is one call, however long it waits. */
    void count(const std::string &kind, const std::string &clientAddress);
    /** Counts a connection that was closed because its client's address is refused. */
    void countRefused();
    void watchStarted();
    void watchEnded();
    /** JSON text with the total, the calls by kind and by client, the refused connections and the waiting watches. */
    std::string report() const;

private:
    mutable std::mutex mutex_;
    std::uint64_t total_ = 0;
    std::uint64_t refused_ = 0;
    std::int64_t waitingWatches_ = 0;
    std::map<std::string, std::uint64_t> byKind_;
    std::map<std::string, std::uint64_t> byClient_;
};

} // namespace Hibiscus

#endif
