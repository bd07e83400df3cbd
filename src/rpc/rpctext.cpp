#include "rpc/rpctext.h"

#include "rpc/controlcodec.h"

#include <exception>
#include <memory>

#include <json/reader.h>
#include <json/writer.h>

namespace Hibiscus
{

namespace
{

/** Control messages nest six levels deep at most; jsoncpp's own limit of 1000 would cost much stack. */
constexpr int kMaxNesting = 16;
/** Longest error message of a peer that is passed on. */
constexpr std::size_t kMaxMessageBytes = 200;

std::string write(std::uint64_t id, std::string_view method, Json::Value message)
{
    Json::Value request(Json::objectValue);
    request["jsonrpc"] = "2.0";
    request["id"] = Json::UInt64(id);
    request["method"] = std::string(method);
    request["params"]["m"] = std::move(message);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, request);
}

bool parse(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = kMaxNesting;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    } catch (const std::exception &) {
        return false; // Nested too deeply.
    }
}

tl::unexpected<RpcError> invalid(const char *cause)
{
    return tl::make_unexpected(RpcError{0, cause});
}

RpcError errorOf(const Json::Value &error)
{
    RpcError result{0, "malformed error"};
    if (error.isObject() && error["code"].isInt() && error["message"].isString()) {
        result.code = error["code"].asInt();
        result.message = error["message"].asString().substr(0, kMaxMessageBytes);
    }
    return result;
}

/** The "result" member of a response. */
tl::expected<Json::Value, RpcError> readResult(const std::string &text, std::uint64_t id)
{
    Json::Value response;
    if (!parse(text, response) || !response.isObject()) {
        return invalid("not a JSON object");
    }
    if (response["jsonrpc"] != Json::Value("2.0")) {
        return invalid("not JSON-RPC 2.0");
    }
    if (response.isMember("error")) {
        return tl::make_unexpected(errorOf(response["error"]));
    }
    if (!response["id"].isUInt64() || response["id"].asUInt64() != id) {
        return invalid("response to another request");
    }
    if (!response.isMember("result")) {
        return invalid("no result");
    }
    return response["result"];
}

} // namespace

std::string requestText(std::uint64_t id, const ControlRequest &request)
{
    return write(id, methodOf(request), encode(request));
}

tl::expected<ControlResponse, RpcError> readResponse(const std::string &text, std::uint64_t id, std::string_view method)
{
    const auto result = readResult(text, id);
    if (!result) {
        return tl::make_unexpected(result.error());
    }
    auto response = decodeResponse(method, *result);
    if (!response) {
        return tl::make_unexpected(RpcError{0, response.error().detail});
    }
    return std::move(*response);
}

} // namespace Hibiscus
