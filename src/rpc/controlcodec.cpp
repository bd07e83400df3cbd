#include "rpc/controlcodec.h"

#include "rpc/controlfields.h"
#include "rpc/fieldio.h"

#include <array>
#include <memory>
#include <utility>

#include <json/reader.h>
#include <json/writer.h>

namespace Hibiscus
{

namespace
{

constexpr std::array<const char *, std::variant_size_v<ControlRequest>> kMethods{
    "poll", "announce", "view", "lease", "configuration",
};

template<class Variant>
Json::Value messageToJson(const Variant &message)
{
    return std::visit(
        [](const auto &body) {
            FieldWriter writer;
            describe(writer, body);
            return writer.take();
        },
        message);
}

template<class Variant, std::size_t Kind>
std::optional<Variant> readAlternative(const Json::Value &value)
{
    std::variant_alternative_t<Kind, Variant> message;
    FieldReader reader(value);
    describe(reader, message);
    if (!reader.valid()) {
        return std::nullopt;
    }
    return Variant(std::in_place_index<Kind>, std::move(message));
}

template<class Variant, std::size_t... Kinds>
std::optional<Variant> readKind(std::size_t kind, const Json::Value &value, std::index_sequence<Kinds...>)
{
    std::optional<Variant> result;
    ((Kinds == kind ? void(result = readAlternative<Variant, Kinds>(value)) : void()), ...);
    return result;
}

template<class Variant>
std::optional<Variant> messageFromJson(std::size_t kind, const Json::Value &value)
{
    return readKind<Variant>(kind, value, std::make_index_sequence<std::variant_size_v<Variant>>());
}

std::optional<Json::Value> parseText(const std::string &text)
{
    Json::CharReaderBuilder builder;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return std::nullopt;
        }
    } catch (const Json::Exception &) {
        // Thrown for input nested beyond the reader's stack limit.
        return std::nullopt;
    }
    return value;
}

} // namespace

const char *controlMethod(std::size_t kind)
{
    return kMethods.at(kind);
}

Json::Value toJson(const ControlRequest &request)
{
    return messageToJson(request);
}

Json::Value toJson(const ControlResponse &response)
{
    return messageToJson(response);
}

std::optional<ControlRequest> controlRequestFromJson(std::size_t kind, const Json::Value &value)
{
    return messageFromJson<ControlRequest>(kind, value);
}

std::optional<ControlResponse> controlResponseFromJson(std::size_t kind, const Json::Value &value)
{
    return messageFromJson<ControlResponse>(kind, value);
}

std::string encodeControlRequest(const ControlRequest &request)
{
    Json::Value message;
    message["jsonrpc"] = "2.0";
    message["id"] = 1; // Each request has a connection of its own, so the id needs no counting.
    message["method"] = controlMethod(request.index());
    message["params"] = toJson(request);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, message);
}

std::optional<ControlResponse> decodeControlResponse(std::size_t kind, const std::string &text)
{
    const std::optional<Json::Value> message = parseText(text);
    if (!message || !message->isObject() || !message->isMember("result")) {
        return std::nullopt;
    }
    return controlResponseFromJson(kind, (*message)["result"]);
}

} // namespace Hibiscus
