#ifndef HIBISCUS_BENCH_COSTWINDOW_H
#define HIBISCUS_BENCH_COSTWINDOW_H

#include "bench/controlmodel.h"

#include <ostream>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Runs a model for some time and reports what each role cost, on average and in the busiest second. */
class CostWindow
{
public:
    explicit CostWindow(ControlModel &model);

    /** Runs @p seconds in steps of one second. */
    void run(int seconds);
    /** Prints one line per role: domain agent, relay and member, and one line for the platform. */
    void print(std::ostream &out, const std::string &title) const;

private:
    struct Peak {
        double sent = 0;
        double received = 0;
        double processor = 0;
    };
    struct RoleCost {
        std::size_t count = 0;
        ControlCost sum;
        double maxSent = 0; ///< Largest mean of one process.
        double maxReceived = 0;
        Peak peak;
    };

    RoleCost costOf(const std::string &role) const;
    std::string roleOf(std::size_t member) const;
    void printRole(std::ostream &out, const std::string &role) const;
    void notePeaks();

    ControlModel &model_;
    std::vector<ControlCost> start_;
    std::vector<ControlCost> last_;
    std::vector<Peak> peaks_;
    FakePlatform::Counts platformStart_;
    FakePlatform::Counts platformLast_;
    double platformPeak_ = 0; ///< Calls in the busiest second, refused ones included.
    int seconds_ = 0;
};

} // namespace Hibiscus

#endif
