#include "rpc/controlcodec.h"

#include "rpc/jsonmessagereader.h"
#include "rpc/jsonmessagewriter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Hibiscus
{

namespace
{

/** In the order of the alternatives of ControlRequest and ControlResponse. */
constexpr std::array<std::string_view, 5> kMethods{"poll", "announce", "view", "lease", "configuration"};
static_assert(kMethods.size() == std::variant_size_v<ControlRequest>);
static_assert(kMethods.size() == std::variant_size_v<ControlResponse>);

template<class Variant, std::size_t Index>
tl::expected<Variant, CodecError> decodeAlternative(std::string_view method, const Json::Value &value)
{
    std::variant_alternative_t<Index, Variant> message;
    JsonMessageReader reader(value, std::string(method));
    visitFields(reader, message);
    if (!reader.error().empty()) {
        return tl::make_unexpected(CodecError{reader.error()});
    }
    return Variant(std::move(message));
}

template<class Variant, std::size_t... Indices>
tl::expected<Variant, CodecError> decode(std::string_view method, const Json::Value &value,
                                         std::index_sequence<Indices...> /*indices*/)
{
    using Decoder = tl::expected<Variant, CodecError> (*)(std::string_view, const Json::Value &);
    static constexpr std::array<Decoder, sizeof...(Indices)> decoders{&decodeAlternative<Variant, Indices>...};
    const auto found = std::ranges::find(kMethods, method);
    if (found == kMethods.end()) {
        return tl::make_unexpected(CodecError{"unknown method"});
    }
    return decoders.at(static_cast<std::size_t>(found - kMethods.begin()))(method, value);
}

} // namespace

std::string_view methodOf(const ControlRequest &request)
{
    return kMethods.at(request.index());
}

Json::Value encode(const ControlRequest &request)
{
    return std::visit([](const auto &message) { return JsonMessageWriter::write(message); }, request);
}

Json::Value encode(const ControlResponse &response)
{
    return std::visit([](const auto &message) { return JsonMessageWriter::write(message); }, response);
}

tl::expected<ControlRequest, CodecError> decodeRequest(std::string_view method, const Json::Value &value)
{
    return decode<ControlRequest>(method, value, std::make_index_sequence<kMethods.size()>());
}

tl::expected<ControlResponse, CodecError> decodeResponse(std::string_view method, const Json::Value &value)
{
    return decode<ControlResponse>(method, value, std::make_index_sequence<kMethods.size()>());
}

} // namespace Hibiscus
