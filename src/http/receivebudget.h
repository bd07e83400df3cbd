#ifndef HIBISCUS_HTTP_RECEIVEBUDGET_H
#define HIBISCUS_HTTP_RECEIVEBUDGET_H

#include <atomic>
#include <cstddef>

namespace Hibiscus
{

/**
 * Bytes of unfinished response bodies that one client holds, so that servers which send without end can't fill the
 * memory of the process, however many of them there are. Once the total is used up, each response may still hold
 * kUndisputedBytes; the larger ones are given up as they grow.
 */
class ReceiveBudget
{
public:
    static constexpr std::size_t kTotalBytes = 32U << 20U;
    static constexpr std::size_t kUndisputedBytes = 128U << 10U;

    /** Accounts for a body that grew from @p before to @p after bytes; false if it must be given up. */
    bool grow(std::size_t before, std::size_t after);

    /** Ends the account of a body of @p bytes. */
    void release(std::size_t bytes);

    std::size_t used() const;

private:
    std::atomic<std::size_t> used_{0};
};

} // namespace Hibiscus

#endif
