#ifndef HIBISCUS_DAEMON_SERVINGGATE_H
#define HIBISCUS_DAEMON_SERVINGGATE_H

#include "core/errorkind.h"
#include "core/ids.h"

#include <optional>

namespace Hibiscus
{

/** Decides which calls and attempts this process may serve at the moment. */
class ServingGate
{
public:
    virtual ~ServingGate() = default;

    /** Whether calls may be served at all. */
    virtual bool mayServe() const = 0;

    /** Why an attempt meant for the backend server @p target may not be sent to the local one; empty if it may. */
    virtual std::optional<ErrorKind> refusal(const ServerName &target) const = 0;

    /** Whether @p target is the local backend server and is leaving. */
    virtual bool isLeaving(const ServerName &target) const = 0;
};

} // namespace Hibiscus

#endif
