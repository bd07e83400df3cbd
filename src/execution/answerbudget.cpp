#include "execution/answerbudget.h"

namespace Hibiscus
{

AnswerBudget::AnswerBudget(const AnswerLimits &limits)
    : limits_(limits)
{
}

bool AnswerBudget::reserve()
{
    if (used_ + limits_.reservedBytes > limits_.totalBytes) {
        return false;
    }
    used_ += limits_.reservedBytes;
    return true;
}

void AnswerBudget::release()
{
    used_ -= limits_.reservedBytes;
}

StoredAnswerPtr AnswerBudget::store(StoredAnswer answer)
{
    const std::size_t bytes = storedBytes(answer);
    if (bytes > limits_.largestBytes || used_ + bytes > limits_.totalBytes) {
        return nullptr;
    }
    used_ += bytes;
    answer.body.shrink_to_fit();
    return std::make_shared<const StoredAnswer>(std::move(answer));
}

void AnswerBudget::drop(const StoredAnswer &answer)
{
    used_ -= storedBytes(answer);
}

std::size_t AnswerBudget::usedBytes() const
{
    return used_;
}

} // namespace Hibiscus
