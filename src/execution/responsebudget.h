#ifndef HIBISCUS_EXECUTION_RESPONSEBUDGET_H
#define HIBISCUS_EXECUTION_RESPONSEBUDGET_H

#include "execution/storedresponse.h"

#include <cstddef>

namespace Hibiscus
{

/** Bounds of the memory for stored answers. */
struct ResponseLimits {
    std::size_t totalBytes = std::size_t{24} << 20U; ///< Stored answers and reservations together.
    std::size_t reservedBytes = std::size_t{16} << 10U; ///< Set aside for each execution that is still running.
    /** Larger answers are not stored: a few of them would block new at-most-once work for 10 min. */
    std::size_t largestBytes = std::size_t{1} << 20U;
};

/**
 * Accounts for the memory of stored answers.
 *
 * A running execution reserves room before it starts, so an answer up to the reservation can always be stored. A larger
 * one is stored only if the room that others have not reserved suffices.
 */
class ResponseBudget
{
public:
    explicit ResponseBudget(const ResponseLimits &limits);

    /** Reserves room for one running execution; false if the bound is reached. */
    bool reserve();
    /** Gives back the reservation of an execution that has no answer. */
    void release();
    /** Accounts for an answer, without a reservation; null if it can't be stored. */
    StoredResponsePtr store(StoredResponse response);
    /** Ends the accounting of an answer that store() returned. */
    void drop(const StoredResponse &response);

    /** Bytes that are stored or reserved; never above ResponseLimits::totalBytes. */
    std::size_t usedBytes() const;

private:
    ResponseLimits limits_;
    std::size_t used_ = 0;
};

} // namespace Hibiscus

#endif
