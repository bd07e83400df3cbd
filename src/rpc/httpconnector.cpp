#include "rpc/httpconnector.h"

#include <exception>

namespace Hibiscus
{

namespace
{

// Texts of the errors of JSON-RPC 2.0, section 5.1.
constexpr const char *kParseError = R"({"error":{"code":-32700,"message":"Parse error"},"id":null,"jsonrpc":"2.0"})";

} // namespace

std::string HttpConnector::process(const std::string &body) noexcept
{
    try {
        std::string response;
        OnRequest(body, &response);
        return response;
    } catch (const std::exception &) {
        // jsoncpp throws on nesting beyond its stack limit.
        return kParseError;
    }
}

bool HttpConnector::StartListening()
{
    return true;
}

bool HttpConnector::StopListening()
{
    return true;
}

bool HttpConnector::SendResponse(const std::string &response, void *addInfo)
{
    *static_cast<std::string *>(addInfo) = response;
    return true;
}

} // namespace Hibiscus
