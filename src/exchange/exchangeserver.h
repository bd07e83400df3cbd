#ifndef HIBISCUS_EXCHANGE_EXCHANGESERVER_H
#define HIBISCUS_EXCHANGE_EXCHANGESERVER_H

#include "exchange/directorymessage.h"
#include "exchange/jsonrpcconnector.h"

#include <functional>
#include <string>

#include <jsonrpccpp/server/abstractserver.h>

namespace Hibiscus
{

/** JSON-RPC method "exchange" (docs/interface.md), by which daemons tell one another what they know. */
class ExchangeServer : public jsonrpc::AbstractServer<ExchangeServer>
{
public:
    using MessageHandler = std::function<DirectoryMessage(const DirectoryMessage &)>;

    /** @p connector must outlive the server. */
    ExchangeServer(JsonRpcConnector &connector, MessageHandler messageHandler);

private:
    void exchange(const Json::Value &parameters, Json::Value &result);

    MessageHandler messageHandler_;
};

/** Body of a request. */
std::string serializeExchangeRequest(const DirectoryMessage &message);

/** Reads the body of the answer to a request; empty for an error and for anything else. */
std::optional<DirectoryMessage> parseExchangeReply(const std::string &text);

} // namespace Hibiscus

#endif
