#ifndef HIBISCUS_PLATFORM_STOREFAULTS_H
#define HIBISCUS_PLATFORM_STOREFAULTS_H

#include "core/millis.h"

namespace Hibiscus
{

/** Faults that the in-memory store simulates. */
struct StoreFaults {
    bool down = false; ///< Every call fails and writes nothing.
    Millis delay; ///< Each call is delayed by so much.
    int responsesToDrop = 0; ///< So many further writes take effect, but their answer is lost.
};

} // namespace Hibiscus

#endif
