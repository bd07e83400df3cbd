#include "retry/attemptbudget.h"

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

int AttemptBudget::grantChild(int learnedPeak)
{
    // The peak is clamped, as it comes from other processes and must not overflow.
    const int wanted = kPeakFactor * std::clamp(learnedPeak, 0, total_) + kSpareAttempts;
    return grant(std::min(std::max(std::min(left_ * 7 / 8, wanted), 1), left_));
}

int AttemptBudget::grantSubtree()
{
    const int reserve = left_ >= kSmallAllowance ? kRetryReserve : left_ / 3;
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
