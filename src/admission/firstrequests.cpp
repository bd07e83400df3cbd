#include "admission/firstrequests.h"

#include <algorithm>

namespace Hibiscus
{

void FirstRequests::begin()
{
    *this = FirstRequests();
    isCounting_ = true;
}

void FirstRequests::completed(Millis atServer, TimePoint now)
{
    if (!isCounting_) {
        return;
    }
    timeSum_ = timeSum_ + atServer;
    count(report_.completed, now);
}

void FirstRequests::failed(TimePoint now)
{
    count(report_.failed, now);
}

void FirstRequests::refused(TimePoint now)
{
    count(report_.refused, now);
}

std::optional<FirstRequests::Report> FirstRequests::takeReport()
{
    const bool isComplete = report_.completed + report_.failed + report_.refused >= kCount;
    if (!isComplete) {
        return std::nullopt;
    }
    Report report = report_;
    report.meanTime = timeSum_ * (1.0 / std::max(report_.completed, 1));
    *this = FirstRequests();
    return report;
}

void FirstRequests::count(int &kind, TimePoint now)
{
    const bool isComplete = report_.completed + report_.failed + report_.refused >= kCount;
    if (!isCounting_ || isComplete) {
        return;
    }
    if (!firstAt_) {
        firstAt_ = now;
    }
    ++kind;
    report_.lasted = now - *firstAt_;
}

} // namespace Hibiscus
