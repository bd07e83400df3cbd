#ifndef HIBISCUS_DAEMON_CALLCOORDINATOR_H
#define HIBISCUS_DAEMON_CALLCOORDINATOR_H

#include "daemon/callservices.h"

#include <memory>

namespace Hibiscus
{

/**
 * Decides where a call is coordinated and under which claim it runs.
 *
 * A root call with an identity, and every non-repeatable call, is claimed from the arbiter that the identity names; if
 * that is another process, the call is forwarded to it. All other calls are attempted from this process.
 */
class CallCoordinator
{
public:
    explicit CallCoordinator(CallServices &services);

    /** Runs @p call to its end. @p callback is called once, at the latest shortly after the deadline. */
    void run(CallRequest call, CallCallback callback);

private:
    struct Claim;

    /** Sends the call to its arbiter; repeated until the deadline if the connection is lost. */
    void forward(CallRequest call, CallCallback callback);
    void requestClaim(const std::shared_ptr<Claim> &claim);
    void retryClaimLater(const std::shared_ptr<Claim> &claim);
    void startAttempts(const std::shared_ptr<Claim> &claim, int attempts);
    void startDeadlineTimer(const std::shared_ptr<Claim> &claim);
    void settleClaim(const Claim &claim, int attempts, const CallResult &result);

    CallServices &services_;
};

} // namespace Hibiscus

#endif
