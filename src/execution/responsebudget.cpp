#include "execution/responsebudget.h"

namespace Hibiscus
{

ResponseBudget::ResponseBudget(const ResponseLimits &limits)
    : limits_(limits)
{
}

bool ResponseBudget::reserve()
{
    if (used_ + limits_.reservedBytes > limits_.totalBytes) {
        return false;
    }
    used_ += limits_.reservedBytes;
    return true;
}

void ResponseBudget::release()
{
    used_ -= limits_.reservedBytes;
}

StoredResponsePtr ResponseBudget::store(StoredResponse response)
{
    const std::size_t bytes = storedBytes(response);
    if (bytes > limits_.largestBytes || used_ + bytes > limits_.totalBytes) {
        return nullptr;
    }
    used_ += bytes;
    response.body.shrink_to_fit();
    return std::make_shared<const StoredResponse>(std::move(response));
}

void ResponseBudget::drop(const StoredResponse &response)
{
    used_ -= storedBytes(response);
}

std::size_t ResponseBudget::usedBytes() const
{
    return used_;
}

} // namespace Hibiscus
