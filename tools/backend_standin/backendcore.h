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

struct BackendCounters {
    std::uint64_t completed = 0;
    std::uint64_t shed = 0; ///< Refused before they ran: queue full, draining, deadline passed.
    std::uint64_t cancelled = 0; ///< Connection closed before the answer.
    std::uint64_t late = 0; ///< Deadline passed while running.
    std::uint64_t failedCalls = 0; ///< Downstream calls without a successful answer.
    std::uint64_t wrongAnswers = 0; ///< Downstream answers that belong to another request or aren't whole.
};

/** State that the requests of one server share. Used by the single thread of the io_context only. */
struct BackendCore {
    BackendCore(asio::io_context &ioContext, BackendSettings backendSettings, std::function<void()> crashFunction);

    /** Time for which a request of @p route occupies the server itself. */
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
    std::function<void()> crash; ///< Ends the process.
};

} // namespace Hibiscus

#endif
