#ifndef HIBISCUS_RETRY_ATTEMPTALLOWANCE_H
#define HIBISCUS_RETRY_ATTEMPTALLOWANCE_H

#include <optional>

namespace Hibiscus
{

/**
 * Attempts that a call and everything below it may still make.
 *
 * Every attempt costs 1 and a grant to a child moves attempts to it, so the sum over the call tree never exceeds the
 * total of the root, however deep the tree is.
 */
class AttemptAllowance
{
public:
    /** @p total below 0 counts as 0. */
    explicit AttemptAllowance(int total);

    /** Takes one attempt of this call; false if none is left. */
    bool takeOne();

    /**
     * Moves attempts to a child call: min(7/8 of what is left, 2 * @p recentPeak + 4), at least 1, or 0 if none is
     * left. @p recentPeak is the largest number of attempts that such child calls used recently.
     */
    int grantChild(int recentPeak);

    /** Moves attempts to the calls below one attempt of this call, all but a small reserve for retries. */
    int grantSubtree();

    /**
     * Ends a grant. With a complete response @p spent is what the child call used, and the rest is returned. Without
     * one it is empty and nothing is returned, as the child call may still be spending.
     */
    void settleChild(int granted, std::optional<int> spent);

    int left() const;
    /** Attempts taken here or by children, with unsettled grants counted in full. */
    int spent() const;

private:
    int grant(int attempts);

    int total_;
    int left_;
    int outstanding_ = 0;
};

} // namespace Hibiscus

#endif
