#ifndef HIBISCUS_BENCH_FAKEPLATFORM_H
#define HIBISCUS_BENCH_FAKEPLATFORM_H

#include "membership/effects.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Platform's object API on a simulated clock. Counts calls, reads and writes separately. */
class FakePlatform
{
public:
    struct Counts {
        std::uint64_t reads = 0; ///< Gets and watches; a watch counts once, however long it waits.
        std::uint64_t writes = 0;
        std::uint64_t refused = 0; ///< Calls while the platform was down.
        std::uint64_t readBytes = 0; ///< Values returned.
        std::uint64_t writtenBytes = 0;
    };
    using Reply = std::function<void(PlatformResult)>;

    /** Calls @p reply at once, or for a watch when the object changes or the timeout has passed. */
    void call(const PlatformCall &call, double now, Reply reply);
    /** Ends the watches whose timeout has passed. */
    void expireWatches(double now);
    void setDown(bool down);
    /** Writes as an operator's tool does; gives the new version. */
    std::uint64_t write(const std::string &key, const std::string &value);
    std::string read(const std::string &key) const;

    const Counts &counts() const;
    std::size_t waitingWatches() const;

private:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Watch {
        PlatformCall call;
        double until;
        Reply reply;
    };

    PlatformResult get(const std::string &key);
    PlatformResult put(const PlatformCall &call);
    void fireWatches();

    std::map<std::string, Object> objects_;
    std::vector<Watch> watches_;
    Counts counts_;
    bool down_ = false;
};

} // namespace Hibiscus

#endif
