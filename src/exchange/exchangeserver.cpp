#include "exchange/exchangeserver.h"

#include <memory>

#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>

namespace Hibiscus
{

namespace
{

constexpr const char *kMethod = "exchange";
constexpr const char *kParameter = "message";
/** Messages nest five levels deep; jsoncpp's default limit of 1000 would need much stack. */
constexpr int kMaximumNesting = 16;

jsonrpc::Procedure exchangeProcedure()
{
    jsonrpc::Procedure procedure;
    procedure.SetProcedureName(kMethod);
    procedure.SetProcedureType(jsonrpc::RPC_METHOD);
    procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
    procedure.SetReturnType(jsonrpc::JSON_OBJECT);
    procedure.AddParameter(kParameter, jsonrpc::JSON_OBJECT);
    return procedure;
}

std::optional<Json::Value> parseJson(const std::string &text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = kMaximumNesting;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return std::nullopt;
        }
    } catch (const std::exception &) {
        // The nesting exceeds the limit; the caller treats this like any other invalid text.
        return std::nullopt;
    }
    return value;
}

} // namespace

ExchangeServer::ExchangeServer(JsonRpcConnector &connector, MessageHandler messageHandler)
    : jsonrpc::AbstractServer<ExchangeServer>(connector, jsonrpc::JSONRPC_SERVER_V2)
    , messageHandler_(std::move(messageHandler))
{
    bindAndAddMethod(exchangeProcedure(), &ExchangeServer::exchange);
}

void ExchangeServer::exchange(const Json::Value &parameters, Json::Value &result)
{
    const auto message = decodeDirectoryMessage(parameters[kParameter]);
    if (!message) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "the message can't be read");
    }
    result = encodeDirectoryMessage(messageHandler_(*message));
}

std::string serializeExchangeRequest(const DirectoryMessage &message)
{
    Json::Value request(Json::objectValue);
    request["jsonrpc"] = "2.0";
    request["id"] = 1; // Each connection carries only one request at a time, so ids need not differ.
    request["method"] = kMethod;
    request["params"][kParameter] = encodeDirectoryMessage(message);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, request);
}

std::optional<DirectoryMessage> parseExchangeReply(const std::string &text)
{
    const std::optional<Json::Value> reply = parseJson(text);
    if (!reply || !reply->isObject() || !reply->isMember("result")) {
        return std::nullopt;
    }
    return decodeDirectoryMessage((*reply)["result"]);
}

} // namespace Hibiscus
