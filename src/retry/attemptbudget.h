#ifndef HIBISCUS_RETRY_ATTEMPTBUDGET_H
#define HIBISCUS_RETRY_ATTEMPTBUDGET_H

#include <optional>

namespace Hibiscus
{

/**
 * Attempts that a call and all calls below it may still make.
 *
 * Every attempt consumes 1, and a grant to a child call moves attempts to it. The sum over the call tree therefore
 * never exceeds the total of the root, however deep the tree is.
 */
class AttemptBudget
{
public:
    /** A negative @p total counts as 0. */
    explicit AttemptBudget(int total);

    /** Consumes one attempt of this call; false if none is left. */
    bool consume();

    /**
     * Moves attempts to a child call and returns their number: min(7/8 of those left, 2 * @p recentPeak + 4), at least
     * 1, or 0 if none is left. @p recentPeak is the largest number of attempts that such child calls used recently.
     */
    int grantChild(int recentPeak);

    /**
     * Moves attempts to the calls below one attempt of this call and returns their number: all that are left except a
     * small reserve for retries.
     */
    int grantSubtree();

    /**
     * Ends a grant. After a complete response @p spent is the number of attempts that the child call used, and the rest
     * becomes available again. Without one @p spent is empty and nothing becomes available, as the child call may still
     * be making attempts.
     */
    void settleGrant(int granted, std::optional<int> spent);

    int left() const;
    /** Attempts consumed by this call or its child calls; grants that have not been settled count in full. */
    int spent() const;

private:
    int grant(int attempts);

    int total_;
    int left_;
    int outstanding_ = 0;
};

} // namespace Hibiscus

#endif
