#ifndef HIBISCUS_HTTP_HTTPMESSAGE_H
#define HIBISCUS_HTTP_HTTPMESSAGE_H

#include "http/httpbody.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** Header fields in message order; names are compared case-insensitively. */
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    void add(std::string name, std::string value);
    /** Replaces all fields of that name. */
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    /** Value of the first field of that name. */
    std::optional<std::string_view> find(std::string_view name) const;
    /** Memory that the fields take, in bytes. */
    std::size_t heldBytes() const;
    const std::vector<Field> &fields() const
    {
        return fields_;
    }

private:
    std::vector<Field> fields_;
};

struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    HttpBody body;
    std::uint64_t connection = 0; ///< Id of the connection that received the request, unique within its HttpServer.
    std::string host{}; ///< Host header field; if it is empty, a client sends the address of the server.
};

/** Whether another response to the same request follows one of this status (RFC 9110, section 15.2). */
bool isInterimStatus(int status);

/** Whether responses of this status have no body, whatever their heads state (RFC 9112, section 6.3). */
bool isBodilessStatus(int status);

/** Whether the response to a request of this method has no body, whatever its head states (RFC 9110, section 9.3.2). */
bool isHeadMethod(std::string_view method);

struct HttpResponse {
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool closesConnection = false; ///< An HttpServer closes the connection after this response.
};

/** Whether two header names are equal, ignoring case. */
bool sameHeaderName(std::string_view a, std::string_view b);

/** Whether a header field applies to a single connection and must not be forwarded (RFC 9110, section 7.6.1). */
bool isHopByHopHeader(std::string_view name);

} // namespace Hibiscus

#endif
