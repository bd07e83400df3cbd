#include "backend_standin/loadreport.h"

namespace Hibiscus
{

namespace
{

/** Longest lag that can be simulated. */
constexpr Millis kHistory{60000};

} // namespace

void LoadReport::record(const LoadSample &sample)
{
    history_.push_back(sample);
    while (sample.time - history_.front().time > kHistory) {
        history_.pop_front();
    }
}

LoadSample LoadReport::seen(const LoadSample &current, const BackendFaults &faults) const
{
    LoadSample reported = current;
    if (faults.reportLag > Millis{0}) {
        // Before the first sample that is old enough, the server reports that it is idle.
        reported = LoadSample{};
        for (const LoadSample &sample : history_) {
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
