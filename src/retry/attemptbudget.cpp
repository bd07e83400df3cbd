#include "retry/attemptbudget.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

// Attempts beyond the recent peak, so that a call may use more than earlier ones; also the grant for a peak of 0.
constexpr int kSpareAttempts = 4;
constexpr int kPeakFactor = 2;
// Attempts that a call keeps for retries while one of its attempts is running.
constexpr int kRetryReserve = 2;
// With fewer attempts left, a third of them is kept for retries instead of kRetryReserve.
constexpr int kSmallBudget = 8;

} // namespace

AttemptBudget::AttemptBudget(int total)
    : total_(std::max(total, 0))
    , left_(total_)
{
}

bool AttemptBudget::consume()
{
    if (left_ == 0) {
        return false;
    }
    --left_;
    return true;
}

int AttemptBudget::grantChild(int recentPeak)
{
    // The peak is reported by other processes; without the clamp the multiplication could overflow.
    const int wanted = kPeakFactor * std::clamp(recentPeak, 0, total_) + kSpareAttempts;
    return grant(std::min(std::max(std::min(left_ * 7 / 8, wanted), 1), left_));
}

int AttemptBudget::grantSubtree()
{
    const int reserve = left_ >= kSmallBudget ? kRetryReserve : left_ / 3;
    return grant(left_ - reserve);
}

int AttemptBudget::grant(int attempts)
{
    left_ -= attempts;
    outstanding_ += attempts;
    return attempts;
}

void AttemptBudget::settleGrant(int granted, std::optional<int> spent)
{
    const int settled = std::clamp(granted, 0, outstanding_);
    outstanding_ -= settled;
    if (spent) {
        left_ += settled - std::clamp(*spent, 0, settled);
    }
}

int AttemptBudget::left() const
{
    return left_;
}

int AttemptBudget::spent() const
{
    return total_ - left_;
}

} // namespace Hibiscus
