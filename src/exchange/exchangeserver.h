#ifndef HIBISCUS_EXCHANGE_EXCHANGESERVER_H
#define HIBISCUS_EXCHANGE_EXCHANGESERVER_H

#include "exchange/directorymessage.h"
#include "exchange/jsonrpcconnector.h"

#include <functional>
#include <string>

#include <jsonrpccpp/server/abstractserver.h>

namespace Hibiscus
{

/** Serves the JSON-RPC method "exchange" (docs/interface.md), with which daemons synchronize their state. */
class ExchangeServer : public jsonrpc::AbstractServer<ExchangeServer>
{
public:
    /** Processes the message of a request and returns the reply. */
    using MessageHandler = std::function<DirectoryMessage(const DirectoryMessage &)>;

    /** @p connector must outlive the server. */
    ExchangeServer(JsonRpcConnector &connector, MessageHandler messageHandler);

private:
    void exchange(const Json::Value &parameters, Json::Value &result);

    MessageHandler messageHandler_;
};

/** Body of a JSON-RPC request that contains @p message. */
std::string serializeExchangeRequest(const DirectoryMessage &message);

/** Reads the message in the body of a JSON-RPC reply; empty if the body is an error, or not a valid reply. */
std::optional<DirectoryMessage> parseExchangeReply(const std::string &text);

} // namespace Hibiscus

#endif
