#include "daemon/loadreport.h"

namespace Hibiscus
{

namespace
{

constexpr double kPercent = 100;
/** Lower values are not reported, which saves bytes. */
constexpr int kReportedSlowdownPercent = 140;
constexpr int kReportedFailingPercent = 3;

void addQuality(CallResult &result, const ServerQuality &quality)
{
    const auto slowdown = static_cast<int>(quality.slowdown() * kPercent);
    const auto failing = static_cast<int>(quality.failingShare() * kPercent);
    if (slowdown >= kReportedSlowdownPercent) {
        result.slowdownPercent = slowdown;
    }
    if (failing >= kReportedFailingPercent) {
        result.failingPercent = failing;
    }
}

} // namespace

void addLoadReport(CallResult &result, SharedTables &tables)
{
    tables.admission.with([&result](const AdmissionController &admission) {
        result.level = admission.level().value;
        result.headroom = admission.headroom();
        result.limit = admission.limit();
        result.rateLimit = admission.rateLimit().value();
    });
    tables.quality.with([&result](const ServerQuality &quality) { addQuality(result, quality); });
}

void removeLoadReport(CallResult &result)
{
    result.level.reset();
    result.subtreeLevel.reset();
    result.headroom.reset();
    result.limit.reset();
    result.slowdownPercent.reset();
    result.failingPercent.reset();
    result.rateLimit.reset();
    result.serverLeaving = false;
}

} // namespace Hibiscus
