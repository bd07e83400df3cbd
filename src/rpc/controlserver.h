#ifndef HIBISCUS_RPC_CONTROLSERVER_H
#define HIBISCUS_RPC_CONTROLSERVER_H

#include "rpc/controlservice.h"

#include <memory>
#include <string>

namespace Hibiscus
{

/** JSON-RPC 2.0 server for control messages. The text comes from the daemon's own HTTP. */
class ControlServer
{
public:
    /** @p service must outlive the server. */
    explicit ControlServer(ControlService &service);
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /** Text of the response to the request @p body; a JSON-RPC error if it can't be read. Never throws. */
    std::string process(const std::string &body);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
