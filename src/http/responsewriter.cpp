#include "http/responsewriter.h"

#include <array>
#include <string_view>
#include <utility>

namespace Hibiscus
{

namespace
{

std::string_view reasonPhrase(int status)
{
    static constexpr std::array<std::pair<int, std::string_view>, 14> kReasonPhrases{{
        {200, "OK"},
        {201, "Created"},
        {204, "No Content"},
        {400, "Bad Request"},
        {404, "Not Found"},
        {408, "Request Timeout"},
        {413, "Content Too Large"},
        {421, "Misdirected Request"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    }};
    for (const auto &[known, reason] : kReasonPhrases) {
        if (known == status) {
            return reason;
        }
    }
    return "Status";
}

} // namespace

void appendResponse(std::string &output, const HttpResponse &response, bool keepAlive, bool toHead)
{
    output.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    output.append(reasonPhrase(response.status)).append("\r\n");
    for (const HttpHeaders::Field &field : response.headers.fields()) {
        if (!isHopByHopHeader(field.first)) {
            output.append(field.first).append(": ").append(field.second).append("\r\n");
        }
    }
    if (!keepAlive) {
        output.append("Connection: close\r\n");
    }
    const bool hasBody = !toHead && !isBodilessStatus(response.status);
    if (hasBody) {
        output.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    output.append("\r\n");
    if (hasBody) {
        output.append(response.body);
    }
}

} // namespace Hibiscus
