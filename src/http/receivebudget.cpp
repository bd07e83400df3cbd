#include "http/receivebudget.h"

namespace Hibiscus
{

bool ReceiveBudget::grow(std::size_t before, std::size_t after)
{
    const std::size_t total = used_ += after - before;
    return total <= kTotalBytes || after <= kUndisputedBytes;
}

void ReceiveBudget::release(std::size_t bytes)
{
    used_ -= bytes;
}

std::size_t ReceiveBudget::used() const
{
    return used_;
}

} // namespace Hibiscus
