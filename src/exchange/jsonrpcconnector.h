#ifndef HIBISCUS_EXCHANGE_JSONRPCCONNECTOR_H
#define HIBISCUS_EXCHANGE_JSONRPCCONNECTOR_H

#include <string>

#include <jsonrpccpp/server/abstractserverconnector.h>

namespace Hibiscus
{

/** Connects a JSON-RPC server to the daemon's own HTTP listener, which hands over the bodies of requests. */
class JsonRpcConnector : public jsonrpc::AbstractServerConnector
{
public:
    /** Returns the text of the reply to the JSON-RPC request in @p body. Callable from several threads at a time; never
     * throws. */
    std::string process(const std::string &body) noexcept;

    /** The listener belongs to the daemon, so there is nothing to start or stop. */
    bool StartListening() override; // NOLINT(readability-identifier-naming)
    bool StopListening() override; // NOLINT(readability-identifier-naming)

    /** Stores the reply for process(); @p addInfo points to the string that receives it. */
    bool SendResponse(const std::string &response, void *addInfo) override; // NOLINT(readability-identifier-naming)
};

} // namespace Hibiscus

#endif
