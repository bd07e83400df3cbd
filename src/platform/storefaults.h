#ifndef HIBISCUS_PLATFORM_STOREFAULTS_H
#define HIBISCUS_PLATFORM_STOREFAULTS_H

#include "core/millis.h"

namespace Hibiscus
{

/** Faults that the in-memory store simulates. */
struct StoreFaults {
    bool down = false; ///< Every call fails and writes nothing.
    Millis delay; ///< Added to each call.
    int responsesToDrop = 0; ///< Number of further writes that take effect but whose response is lost.
    bool delaysStaleReads = false; ///< Reads that may be stale see the store as it was when this was set.
};

} // namespace Hibiscus

#endif
