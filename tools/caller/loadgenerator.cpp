#include "caller/loadgenerator.h"

#include "core/chronotime.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

/** The executions of a long run exceed the default limit of the HTTP client on response bodies. */
constexpr std::size_t kMaximumExecutionBytes = 1U << 30U;

std::string modeName(CallerMode mode)
{
    switch (mode) {
    case CallerMode::Layered:
        return "layered";
    case CallerMode::Direct:
        return "direct";
    case CallerMode::Baseline:
        return "baseline";
    }
    return {};
}

void addWindows(std::vector<std::uint64_t> &sum, const std::vector<std::uint64_t> &windows)
{
    sum.resize(std::max(sum.size(), windows.size()));
    for (std::size_t i = 0; i < windows.size(); ++i) {
        sum[i] += windows[i];
    }
}

ArrivalSettings makeArrivalSettings(const CallerSettings &settings, const LoadClass &loadClass)
{
    ArrivalSettings arrivals;
    arrivals.rate = loadClass.rate;
    arrivals.surgeFactor = loadClass.surgeFactor > 0 ? loadClass.surgeFactor : settings.surgeFactor;
    arrivals.surgeStart = TimePoint{} + settings.surgeStart;
    arrivals.surgeEnd = TimePoint{} + settings.surgeEnd;
    return arrivals;
}

} // namespace

LoadGenerator::LoadGenerator(asio::io_context &context, CallerSettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , client_(context)
    , actionContext_{settings_, client_, [this] { return now(); }}
    , timer_(context)
    , random_(settings_.seed)
{
    if (settings_.tagPrefix.empty()) {
        settings_.tagPrefix = fmt::format("s{}", settings_.seed);
    }
    for (const LoadClass &loadClass : settings_.classes) {
        streams_.push_back({loadClass, ArrivalProcess(makeArrivalSettings(settings_, loadClass), random_()),
                            LoadStats(loadClass.name, loadClass.deadline)});
    }
}

std::string LoadGenerator::settingsError() const
{
    if (settings_.classes.empty()) {
        return "no class of requests is given";
    }
    if (settings_.mode == CallerMode::Layered) {
        return settings_.targets.empty() ? "no target is given" : "";
    }
    for (const LoadClass &loadClass : settings_.classes) {
        const auto found = settings_.servers.find(loadClass.service);
        if (found == settings_.servers.end() || found->second.empty()) {
            return "no server is given for service " + loadClass.service.value();
        }
    }
    return {};
}

void LoadGenerator::start(std::function<void()> finished)
{
    finished_ = std::move(finished);
    started_ = clock_.now();
    offering_ = true;
    sendDueRequests();
}

TimePoint LoadGenerator::now() const
{
    return TimePoint{} + (clock_.now() - started_);
}

TimePoint LoadGenerator::nextArrival() const
{
    const auto earliest = std::min_element(streams_.begin(), streams_.end(), [](const Stream &a, const Stream &b) {
        return a.arrivals.next() < b.arrivals.next();
    });
    return earliest->arrivals.next();
}

void LoadGenerator::sendDueRequests()
{
    const TimePoint end = TimePoint{} + settings_.duration;
    const TimePoint until = std::min(now(), end);
    for (Stream &stream : streams_) {
        for (; stream.arrivals.next() < until; stream.arrivals.advance()) {
            offer(stream, stream.arrivals.next());
        }
    }
    const TimePoint next = nextArrival();
    if (next >= end) {
        offering_ = false;
        finishIfIdle();
        return;
    }
    timer_.expires_after(toChrono(next - now()));
    timer_.async_wait([this](const asio::error_code &error) {
        if (!error) {
            sendDueRequests();
        }
    });
}

void LoadGenerator::offer(Stream &stream, TimePoint due)
{
    const bool dropped = outstanding_ >= settings_.maximumOutstanding;
    stream.stats.recordOffered(due, dropped);
    if (dropped) {
        return;
    }
    ++outstanding_;
    std::string tag = fmt::format("{}-{}", settings_.tagPrefix, ++lastRequestNumber_);
    std::make_shared<UserAction>(actionContext_, stream.loadClass, stream.stats, std::move(tag), random_(), due,
                                 [this] { actionEnded(); })
        ->start();
}

void LoadGenerator::actionEnded()
{
    --outstanding_;
    finishIfIdle();
}

void LoadGenerator::finishIfIdle()
{
    if (!offering_ && outstanding_ == 0 && finished_) {
        readExecutions();
    }
}

void LoadGenerator::readExecutions()
{
    pendingReads_ = settings_.executions.size();
    if (pendingReads_ == 0) {
        std::exchange(finished_, nullptr)();
        return;
    }
    HttpCallOptions options;
    options.freshConnection = true;
    options.maximumBodyBytes = kMaximumExecutionBytes;
    for (const HostAddress &server : settings_.executions) {
        client_.send(server, {"GET", "/executions", {}, {}}, options, [this, server](const HttpResult &result) {
            if (!result || !executions_.add(result->body)) {
                executions_.addUnreadServer(server.value());
            }
            if (--pendingReads_ == 0) {
                std::exchange(finished_, nullptr)();
            }
        });
    }
}

Json LoadGenerator::report() const
{
    Json classes = Json::object();
    std::vector<std::uint64_t> offered;
    std::vector<std::uint64_t> completed;
    std::unordered_set<std::string> notRunTags;
    std::uint64_t resends = 0;
    std::uint64_t wrong = 0;
    for (const Stream &stream : streams_) {
        classes[stream.stats.name()] = stream.stats.report();
        addWindows(offered, stream.stats.offeredByWindow());
        addWindows(completed, stream.stats.completedByWindow());
        notRunTags.insert(stream.stats.notRunTags().begin(), stream.stats.notRunTags().end());
        resends += stream.stats.resends();
        wrong += stream.stats.wrongResponses();
    }
    Json report = Json::object();
    report["mode"] = modeName(settings_.mode);
    report["seed"] = settings_.seed;
    report["duration_ms"] = settings_.duration.value;
    report["window_ms"] = kWindowWidth.value;
    report["offered"] = offered;
    report["goodput"] = completed;
    report["resends"] = resends;
    report["wrong_answers"] = wrong;
    report["classes"] = std::move(classes);
    if (!settings_.executions.empty()) {
        report["executions"] = executions_.report(notRunTags);
    }
    return report;
}

} // namespace Hibiscus
