#ifndef HIBISCUS_CTL_HTTPDAEMONCLIENT_H
#define HIBISCUS_CTL_HTTPDAEMONCLIENT_H

#include "ctl/daemonclient.h"

namespace Hibiscus
{

/** Daemon client over HTTP; each call opens a connection of its own. */
class HttpDaemonClient : public DaemonClient
{
public:
    tl::expected<std::string, DaemonError> status(const HostAddress &daemon) override;
    tl::expected<void, DaemonError> drain(const HostAddress &daemon) override;
};

} // namespace Hibiscus

#endif
