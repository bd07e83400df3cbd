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
 * that is another process, the call is handed to it. All other calls are attempted from here.
 */
class CallCoordinator
{
public:
    explicit CallCoordinator(CallServices &services);

    /** Sees @p call through. @p callback is called once, at the latest soon after the deadline. */
    void run(CallRequest call, CallCallback callback);

private:
    struct Claim;

    void forward(CallRequest call, CallCallback callback);
    void claim(const std::shared_ptr<Claim> &claim);
    void waitForOther(const std::shared_ptr<Claim> &claim);
    void attempt(const std::shared_ptr<Claim> &claim, int attempts);
    void armDeadline(const std::shared_ptr<Claim> &claim);
    void settle(const Claim &claim, int attempts, const CallResult &answer);

    CallServices &services_;
};

} // namespace Hibiscus

#endif
