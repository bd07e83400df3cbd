#include "backend_standin/loadreport.h"

namespace Hibiscus
{

namespace
{

/** Longest report lag that can be simulated; older samples are dropped. */
constexpr Millis kMaximumReportLag{60000};

} // namespace

void LoadReport::record(const LoadSample &sample)
{
    samples_.push_back(sample);
    while (sample.time - samples_.front().time > kMaximumReportLag) {
        samples_.pop_front();
    }
}

LoadSample LoadReport::reportedSample(const LoadSample &current, const BackendFaults &faults) const
{
    LoadSample reported = current;
    if (faults.reportLag > Millis{0}) {
        // Until a sample is old enough, the server is reported as idle.
        reported = LoadSample{};
        for (const LoadSample &sample : samples_) {
            if (current.time - sample.time < faults.reportLag) {
                break;
            }
            reported = sample;
        }
    }
    reported.running = static_cast<int>(reported.running * faults.loadFactor);
    reported.waiting = static_cast<int>(reported.waiting * faults.loadFactor);
    return reported;
}

} // namespace Hibiscus
