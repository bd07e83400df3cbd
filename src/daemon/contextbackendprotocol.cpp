#include "daemon/contextbackendprotocol.h"

#include "daemon/headernames.h"

#include <array>
#include <charconv>

namespace Hibiscus
{

namespace
{

std::string formatContext(AttemptId attempt)
{
    std::array<char, 16> buffer{};
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), attempt.value(), 16);
    return {buffer.data(), written.ptr};
}

} // namespace

HttpRequest ContextBackendProtocol::encode(const CallMessage &message, Millis remaining) const
{
    const CallRequest &call = message.call;
    HttpRequest request{call.method, call.path, call.headers, call.body};
    request.headers.set(HeaderName::kContext, formatContext(message.attempt));
    request.headers.set(HeaderName::kDeadline, std::to_string(static_cast<long>(remaining.value)));
    return request;
}

std::string ContextBackendProtocol::echoedField() const
{
    return {};
}

Result<HttpResponse> ContextBackendProtocol::decode(const CallMessage & /*message*/, HttpResponse response) const
{
    if (response.headers.find(HeaderName::kNotRun)) {
        return tl::unexpected(ErrorKind::ServerRefused);
    }
    response.headers = endToEndHeaders(response.headers);
    return response;
}

ServerNotice ContextBackendProtocol::readNotice(const HttpResponse &response) const
{
    return parseServerNotice(response.headers, {HeaderName::kRateLimit, HeaderName::kLeaving});
}

} // namespace Hibiscus
