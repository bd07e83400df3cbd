#ifndef HIBISCUS_CALLER_LOADSTATS_H
#define HIBISCUS_CALLER_LOADSTATS_H

#include "caller/attemptresult.h"
#include "core/millis.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Hibiscus
{

/** Figures of one class of requests. */
class LoadStats
{
public:
    /** @p deadline counts from the time a request was due, resends included. */
    LoadStats(std::string name, Millis deadline);

    /** A request is due; @p dropped if the caller itself has too many outstanding. */
    void offered(TimePoint due, bool dropped);
    void resent();
    void identityFetched();
    /** A request has come to its end; its latency counts from the time it was due. */
    void ended(Verdict verdict, TimePoint due, TimePoint now);
    /** The last answer to the tag said that the request was not run. */
    void saidNotRun(std::string tag);

    const std::string &name() const
    {
        return name_;
    }
    const std::unordered_set<std::string> &notRunTags() const
    {
        return notRunTags_;
    }
    std::uint64_t resends() const
    {
        return resends_;
    }
    std::uint64_t wrongAnswers() const
    {
        return wrong_;
    }
    /** Numbers per window of 100 ms since the start of the run. */
    const std::vector<std::uint64_t> &offeredByWindow() const
    {
        return offeredByWindow_;
    }
    const std::vector<std::uint64_t> &completedByWindow() const
    {
        return completedByWindow_;
    }
    nlohmann::json report() const;

private:
    std::string name_;
    Millis deadline_;
    std::uint64_t offered_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t completed_ = 0;
    std::uint64_t late_ = 0; ///< Completed after the deadline; not part of the goodput.
    std::uint64_t failed_ = 0;
    std::uint64_t wrong_ = 0;
    std::uint64_t notRun_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t unreachable_ = 0;
    std::uint64_t resends_ = 0;
    std::uint64_t identities_ = 0;
    std::vector<double> latencies_;
    std::vector<std::uint64_t> offeredByWindow_;
    std::vector<std::uint64_t> completedByWindow_;
    std::unordered_set<std::string> notRunTags_;
};

/** Width of the windows in which offered and completed requests are counted. */
constexpr Millis kWindow{100};

} // namespace Hibiscus

#endif
