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

/** Statistics of one class of requests. */
class LoadStats
{
public:
    /** @p deadline is relative to the time at which a request was due and includes its resends. */
    LoadStats(std::string name, Millis deadline);

    /** Records a request that is due. It is @p dropped, not sent, if too many requests are in progress. */
    void recordOffered(TimePoint due, bool dropped);
    void recordResend();
    void recordIdentityFetched();
    /** Records the end of a request. Its latency is measured from the time at which it was due. */
    void recordEnd(CallerOutcome outcome, TimePoint due, TimePoint now);
    /** Records a tag whose last response said that the request was not run. */
    void recordNotRun(std::string tag);

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
    std::uint64_t wrongResponses() const
    {
        return wrong_;
    }
    /** Number of requests by window of kWindowWidth since the start of the run. */
    const std::vector<std::uint64_t> &offeredByWindow() const
    {
        return offeredByWindow_;
    }
    /** Number of requests that completed within their deadline, by window of kWindowWidth. */
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
    std::uint64_t late_ = 0; ///< Completed after the deadline; also counted in completed_, but not in the goodput.
    std::uint64_t failed_ = 0;
    std::uint64_t wrong_ = 0;
    std::uint64_t notRun_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t unreachable_ = 0;
    std::uint64_t resends_ = 0;
    std::uint64_t identitiesFetched_ = 0;
    std::vector<double> latencies_; ///< In ms, of completed requests.
    std::vector<std::uint64_t> offeredByWindow_;
    std::vector<std::uint64_t> completedByWindow_;
    std::unordered_set<std::string> notRunTags_;
};

/** Width of the windows in which offered and completed requests are counted. */
constexpr Millis kWindowWidth{100};

} // namespace Hibiscus

#endif
