#include "exchange/jsonrpcconnector.h"

#include <exception>

namespace Hibiscus
{

namespace
{

// Reply defined by JSON-RPC 2.0, section 5.1.
constexpr const char *kParseError = R"({"error":{"code":-32700,"message":"Parse error"},"id":null,"jsonrpc":"2.0"})";

} // namespace

std::string JsonRpcConnector::process(const std::string &body) noexcept
{
    try {
        std::string reply;
        OnRequest(body, &reply);
        return reply;
    } catch (const std::exception &) {
        // jsoncpp throws if the nesting exceeds its stack limit.
        return kParseError;
    }
}

bool JsonRpcConnector::StartListening()
{
    return true;
}

bool JsonRpcConnector::StopListening()
{
    return true;
}

bool JsonRpcConnector::SendResponse(const std::string &response, void *addInfo)
{
    *static_cast<std::string *>(addInfo) = response;
    return true;
}

} // namespace Hibiscus
