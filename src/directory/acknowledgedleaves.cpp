#include "directory/acknowledgedleaves.h"

namespace Hibiscus
{

AcknowledgedLeaves::AcknowledgedLeaves(const Clock &clock)
    : clock_(clock)
    , startedAt_(clock_.now())
{
}

void AcknowledgedLeaves::tick()
{
    clock_.tick();
}

void AcknowledgedLeaves::listingReceived()
{
    areKnown_ = true;
}

void AcknowledgedLeaves::checkInReceived()
{
    areKnown_ = areKnown_ || clock_.now() - startedAt_ >= kMaximumCheckInDelay;
}

} // namespace Hibiscus
