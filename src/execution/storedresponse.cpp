#include "execution/storedresponse.h"

namespace Hibiscus
{

std::size_t storedBytes(const StoredResponse &answer)
{
    std::size_t bytes = sizeof(StoredResponse) + answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        bytes += sizeof(answer.headers.front()) + name.size() + value.size();
    }
    return bytes;
}

} // namespace Hibiscus
