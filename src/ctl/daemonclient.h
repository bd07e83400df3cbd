#ifndef HIBISCUS_CTL_DAEMONCLIENT_H
#define HIBISCUS_CTL_DAEMONCLIENT_H

#include "core/ids.h"

#include <string>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Why a daemon gave no usable response. */
struct DaemonError {
    bool responded = false; ///< True if the daemon sent a response that is an error or invalid.
    std::string message;
};

/** Calls to the callers listener of a daemon. */
class DaemonClient
{
public:
    virtual ~DaemonClient() = default;

    /** Body of GET /status. */
    virtual tl::expected<std::string, DaemonError> status(const HostAddress &daemon) = 0;
    /** POST /drain. Idempotent. */
    virtual tl::expected<void, DaemonError> drain(const HostAddress &daemon) = 0;
};

} // namespace Hibiscus

#endif
