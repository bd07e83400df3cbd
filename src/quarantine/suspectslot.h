#ifndef HIBISCUS_QUARANTINE_SUSPECTSLOT_H
#define HIBISCUS_QUARANTINE_SUSPECTSLOT_H

#include "core/ids.h"

#include <optional>

namespace Hibiscus
{

/** Lets one suspect request at a time run on a backend server, so that a crash identifies its cause. */
class SuspectSlot
{
public:
    /** Acquires the slot for an attempt; false if another attempt holds it. */
    bool tryAcquire(AttemptId attempt);
    /** Releases the slot if the attempt holds it. */
    void release(AttemptId attempt);

private:
    std::optional<AttemptId> holder_;
};

} // namespace Hibiscus

#endif
