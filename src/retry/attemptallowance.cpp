#include "retry/attemptallowance.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

// Room for attempts beyond the learned peak; also what a call without any history is granted.
constexpr int kSpareAttempts = 4;
constexpr int kPeakFactor = 2;
// Attempts that are kept back for retries of a call while one attempt of it runs.
constexpr int kRetryReserve = 2;
constexpr int kSmallAllowance = 8;

} // namespace

AttemptAllowance::AttemptAllowance(int total)
    : total_(std::max(total, 0))
    , left_(total_)
{
}

bool AttemptAllowance::takeOne()
{
    if (left_ == 0) {
        return false;
    }
    --left_;
    return true;
}

int AttemptAllowance::grantChild(int recentPeak)
{
    // The peak is clamped, as it comes from other processes and must not overflow.
    const int wanted = kPeakFactor * std::clamp(recentPeak, 0, total_) + kSpareAttempts;
    return grant(std::min(std::max(std::min(left_ * 7 / 8, wanted), 1), left_));
}

int AttemptAllowance::grantSubtree()
{
    const int reserve = left_ >= kSmallAllowance ? kRetryReserve : left_ / 3;
    return grant(left_ - reserve);
}

int AttemptAllowance::grant(int attempts)
{
    left_ -= attempts;
    outstanding_ += attempts;
    return attempts;
}

void AttemptAllowance::settleChild(int granted, std::optional<int> spent)
{
    const int settled = std::clamp(granted, 0, outstanding_);
    outstanding_ -= settled;
    if (spent) {
        left_ += settled - std::clamp(*spent, 0, settled);
    }
}

int AttemptAllowance::left() const
{
    return left_;
}

int AttemptAllowance::spent() const
{
    return total_ - left_;
}

} // namespace Hibiscus
