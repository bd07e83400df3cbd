#include "quarantine/suspectslot.h"

namespace Hibiscus
{

bool SuspectSlot::tryAcquire(AttemptId attempt)
{
    if (holder_ && *holder_ != attempt) {
        return false;
    }
    holder_ = attempt;
    return true;
}

void SuspectSlot::release(AttemptId attempt)
{
    if (holder_ == attempt) {
        holder_.reset();
    }
}

} // namespace Hibiscus
