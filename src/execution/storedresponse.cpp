#include "execution/storedresponse.h"

namespace Hibiscus
{

std::size_t storedBytes(const StoredResponse &response)
{
    std::size_t bytes = sizeof(StoredResponse) + response.body.size();
    for (const auto &[name, value] : response.headers) {
        bytes += sizeof(response.headers.front()) + name.size() + value.size();
    }
    return bytes;
}

} // namespace Hibiscus
