#include "retry/retrybudget.h"

#include "core/autotests/operationproperty.h"

#include <algorithm>
#include <array>
#include <vector>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

/** A budget and an oracle that keeps every response. */
class BudgetModel
{
public:
    static constexpr unsigned kKinds = 12;

    void step(const Operation &op)
    {
        static constexpr std::array<double, 6> kGaps{0, 1, 99, 100, 450, 5000};
        if (op.kind == 0) {
            now_ = now_ + Millis{kGaps.at(op.a % kGaps.size())};
        } else if (op.kind <= 2) {
            for (unsigned i = 0; i < 1 + (op.a % 3); ++i) {
                budget_.recordShed(now_);
                responses_.push_back({now_, true});
            }
        } else if (op.kind <= 8) {
            for (unsigned i = 0; i < op.a; ++i) {
                budget_.recordCompletion(now_);
                responses_.push_back({now_, false});
                hundredths_ = std::min(hundredths_ + 5, 1000);
            }
        } else {
            const bool isAllowed = hundredths_ >= 100 && !isShedding();
            RC_ASSERT(budget_.tryAcquireToken(now_) == isAllowed);
            hundredths_ -= isAllowed ? 100 : 0;
        }
        RC_ASSERT(budget_.tokens() == hundredths_ / 100.0);
    }

private:
    struct Response {
        TimePoint at;
        bool isShed;
    };

    bool isShedding() const
    {
        // The budget counts slices of 100 ms, so its second begins at the start of a slice.
        const double since = (std::floor(now_.value / 100) * 100) - 1000;
        const auto inWindow = [since](const Response &response) { return response.at.value >= since; };
        const auto total = std::count_if(responses_.begin(), responses_.end(), inWindow);
        const auto sheds = std::count_if(responses_.begin(), responses_.end(), [&](const Response &response) {
            return inWindow(response) && response.isShed;
        });
        return sheds * 10 > total;
    }

    RetryBudget budget_;
    std::vector<Response> responses_;
    TimePoint now_{123'456};
    int hundredths_ = 1000;
};

} // namespace

TEST_CASE("RetryBudget: agrees with an oracle that keeps every response")
{
    // Guards against a retry rate above 5% of the completions, and against retries while the service sheds load.
    CHECK(checkOperations<BudgetModel>("retry budget", 600));
}

TEST_CASE("RetryBudget: the buckets of all daemons together stay within the bound of the deployment")
{
    // Guards against bursts of retries that are small for each daemon but large for the service.
    constexpr int kDaemons = 16;
    constexpr double kSlack = 50;
    int retries = 0;
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
        RetryBudget budget;
        budget.setLimits(0.05, kSlack / 2 / kDaemons);
        while (budget.tryAcquireToken(TimePoint{1000})) {
            ++retries;
        }
    }
    CHECK(retries <= kSlack);
    CHECK(retries >= kDaemons);
}
