#ifndef HIBISCUS_DAEMON_SERVERNOTICE_H
#define HIBISCUS_DAEMON_SERVERNOTICE_H

#include "core/requestrate.h"
#include "http/httpmessage.h"

#include <optional>
#include <string_view>

namespace Hibiscus
{

/** What a backend server says of itself in a response, whichever request the response is for. */
struct ServerNotice {
    std::optional<RequestRate> rateLimit; ///< Requests that it takes from all hosts together; empty if it names none.
    bool isLeaving = false; ///< It ends soon and takes no new requests.
    bool isReadable = true; ///< False if a field of the notice can't be read; then the notice changes nothing.
};

/** Header fields in which a protocol carries the notice. */
struct ServerNoticeFields {
    std::string_view rateLimit; ///< Decimal number of requests a second.
    std::string_view leaving; ///< "1" if the server is leaving.
};

/** Reads the notice in @p headers. A field that occurs twice, or has a value of another form, can't be read. */
ServerNotice parseServerNotice(const HttpHeaders &headers, const ServerNoticeFields &fields);

} // namespace Hibiscus

#endif
