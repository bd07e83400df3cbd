#ifndef HIBISCUS_RPC_CONTROLSERVER_H
#define HIBISCUS_RPC_CONTROLSERVER_H

#include "rpc/controlservice.h"
#include "rpc/httpconnector.h"

#include <string>

#include <json/value.h>
#include <jsonrpccpp/server/abstractserver.h>

namespace Hibiscus
{

/**
 * JSON-RPC server of the control methods. A control message is the parameter "m" of its method, as an object; the
 * request text of claim, settle and outcome is the parameter "m" as a string.
 */
class ControlServer : public jsonrpc::AbstractServer<ControlServer>
{
public:
    /** Both must outlive the server. */
    ControlServer(HttpConnector &connector, ControlService &service);

private:
    void poll(const Json::Value &parameters, Json::Value &result);
    void announce(const Json::Value &parameters, Json::Value &result);
    void view(const Json::Value &parameters, Json::Value &result);
    void lease(const Json::Value &parameters, Json::Value &result);
    void configuration(const Json::Value &parameters, Json::Value &result);
    void claim(const Json::Value &parameters, Json::Value &result);
    void settle(const Json::Value &parameters, Json::Value &result);
    void outcome(const Json::Value &parameters, Json::Value &result);

    ControlService &service_;
};

} // namespace Hibiscus

#endif
