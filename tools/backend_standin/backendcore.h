#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDCORE_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDCORE_H

#include "backend_standin/backendfaults.h"
#include "backend_standin/backendsettings.h"
#include "backend_standin/executionlog.h"
#include "backend_standin/servicetime.h"
#include "backend_standin/slotqueue.h"
#include "core/steadyclock.h"
#include "http/httpclient.h"

#include <cstdint>
#include <functional>
#include <random>

#include <asio/io_context.hpp>

namespace Hibiscus
{

/** Requests by the way they ended, and failures of downstream calls. */
struct BackendCounters {
    std::uint64_t completed = 0;
    std::uint64_t shed = 0; ///< Refused before execution: queue full, server draining or deadline passed.
    std::uint64_t cancelled = 0; ///< Connection closed before the response.
    std::uint64_t late = 0; ///< Deadline passed during execution.
    std::uint64_t failedCalls = 0; ///< Attempts of downstream calls without a successful response.
    std::uint64_t wrongResponses = 0; ///< Downstream responses that are incomplete or belong to another request.
};

/** State shared by the requests of one server. Used by the single thread of the io_context only. */
struct BackendCore {
    BackendCore(asio::io_context &ioContext, BackendSettings backendSettings, std::function<void()> crashFunction);

    /** Draws the service time of a request of @p route, with the factors of a cold start and of the faults applied. */
    Millis drawServiceTime(const BackendRoute &route);

    asio::io_context &context;
    BackendSettings settings;
    BackendFaults faults;
    SteadyClock clock;
    TimePoint started;
    ServiceTime serviceTime;
    SlotQueue slots;
    ExecutionLog executions;
    BackendCounters counters;
    HttpClient client;
    std::mt19937_64 random;
    std::function<void()> crash; ///< Must end the process.
};

} // namespace Hibiscus

#endif
