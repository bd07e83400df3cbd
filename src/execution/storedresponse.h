#ifndef HIBISCUS_EXECUTION_STOREDRESPONSE_H
#define HIBISCUS_EXECUTION_STOREDRESPONSE_H

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** Complete response of a backend server, kept for resends and outcome queries. */
struct StoredResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

/** Shared, so that a reader can send the response after it has released the lock of the table. */
using StoredResponsePtr = std::shared_ptr<const StoredResponse>;

/** Memory that @p response occupies, in bytes, without allocator overhead. */
std::size_t storedBytes(const StoredResponse &response);

} // namespace Hibiscus

#endif
