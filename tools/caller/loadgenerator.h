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
 * Open-loop load generator: offers requests at given rates, whatever the responses, and reports their outcomes.
 *
 * The io_context must be run by a single thread.
 */
class LoadGenerator
{
public:
    LoadGenerator(asio::io_context &context, CallerSettings settings);
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /** Error text for settings that lack a class, a target or a server; empty if they are complete. */
    std::string settingsError() const;
    /** Offers the load, reads the executions once every request has ended, and then calls @p finished. */
    void start(std::function<void()> finished);
    /** Results of the run. */
    nlohmann::json report() const;

private:
    /** Arrivals and statistics of one class of requests. */
    struct Stream {
        const LoadClass &loadClass;
        ArrivalProcess arrivals;
        LoadStats stats;
    };

    TimePoint now() const;
    void sendDueRequests();
    void offer(Stream &stream, TimePoint due);
    void actionEnded();
    void finishIfIdle();
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
    std::uint64_t lastRequestNumber_ = 0;
    std::size_t outstanding_ = 0;
    std::size_t pendingReads_ = 0;
    bool offering_ = false;
};

} // namespace Hibiscus

#endif
