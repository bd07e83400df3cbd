#ifndef HIBISCUS_CALLER_LOADGENERATOR_H
#define HIBISCUS_CALLER_LOADGENERATOR_H

#include "caller/arrivalprocess.h"
#include "caller/callersettings.h"
#include "caller/executioncheck.h"
#include "caller/loadstats.h"
#include "caller/useraction.h"
#include "core/steadyclock.h"
#include "http/httpclient.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

namespace Hibiscus
{

/**
 * Offers load at given rates, whatever becomes of it, and reports how it fared.
 *
 * The io_context must be run by a single thread.
 */
class LoadGenerator
{
public:
    LoadGenerator(asio::io_context &context, CallerSettings settings);
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /** What is missing in the settings to run; empty if nothing is. */
    std::string problem() const;
    /** Offers the load, reads the executions when every request has ended, and then calls @p finished. */
    void start(std::function<void()> finished);
    /** Figures of the run. */
    nlohmann::json report() const;

private:
    struct Stream {
        const LoadClass &loadClass;
        ArrivalProcess arrivals;
        LoadStats stats;
    };

    TimePoint now() const;
    void sendDue();
    void offer(Stream &stream, TimePoint due);
    void actionEnded();
    void endIfIdle();
    void readExecutions();
    TimePoint nextArrival() const;

    asio::io_context &context_;
    CallerSettings settings_;
    SteadyClock clock_;
    TimePoint started_;
    HttpClient client_;
    ActionContext actionContext_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::deque<Stream> streams_;
    ExecutionCheck executions_;
    std::function<void()> finished_;
    std::uint64_t lastTag_ = 0;
    std::size_t outstanding_ = 0;
    std::size_t unread_ = 0;
    bool offering_ = false;
};

} // namespace Hibiscus

#endif
