#include "http/requestwriter.h"

namespace Hibiscus
{

std::string serializeRequestHead(const HostAddress &address, const HttpRequest &request, bool closesConnection)
{
    std::string text;
    text.reserve(512);
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    text.append(request.host.empty() ? address.value() : request.host).append("\r\n");
    for (const HttpHeaders::Field &field : request.headers.fields()) {
        if (!isHopByHopHeader(field.first)) {
            text.append(field.first).append(": ").append(field.second).append("\r\n");
        }
    }
    if (closesConnection) {
        text.append("Connection: close\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n\r\n");
    return text;
}

} // namespace Hibiscus
