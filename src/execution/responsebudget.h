#ifndef HIBISCUS_EXECUTION_RESPONSEBUDGET_H
#define HIBISCUS_EXECUTION_RESPONSEBUDGET_H

#include "execution/storedresponse.h"

#include <cstddef>

namespace Hibiscus
{

/** Bounds of the memory for stored responses. */
struct ResponseLimits {
    std::size_t totalBytes = std::size_t{24} << 20U; ///< Stored responses and reservations together.
    std::size_t reservedBytes = std::size_t{16} << 10U; ///< Reserved for each running execution.
    /** Larger responses are not stored: a few of them would block new at-most-once requests for 10 min. */
    std::size_t largestBytes = std::size_t{1} << 20U;
};

/**
 * Accounts for the memory of stored responses.
 *
 * An execution reserves memory before it starts, so a response up to the size of the reservation can always be stored.
 * A larger one is stored only if it fits in the memory that is neither used nor reserved by others.
 */
class ResponseBudget
{
public:
    explicit ResponseBudget(const ResponseLimits &limits);

    /** Reserves memory for one running execution; false if the bound is reached. */
    bool reserve();
    /** Releases the reservation of one execution. If it has a response to store, call this before store(). */
    void release();
    /** Stores a response whose reservation has been released; null if it doesn't fit or is too large. */
    StoredResponsePtr store(StoredResponse response);
    /** Releases the memory of a response that store() returned. */
    void drop(const StoredResponse &response);

    /** Bytes that are stored or reserved; never above ResponseLimits::totalBytes. */
    std::size_t usedBytes() const;

private:
    ResponseLimits limits_;
    std::size_t used_ = 0;
};

} // namespace Hibiscus

#endif
