#ifndef HIBISCUS_MESH_CHECKINPROTOCOL_H
#define HIBISCUS_MESH_CHECKINPROTOCOL_H

#include "directory/checkin.h"
#include "http/httpmessage.h"

#include <optional>
#include <variant>

namespace Hibiscus
{

/** Report of a backend server that it ends. */
struct LeaveNotice {
    ServerName name;
    std::optional<std::int64_t> startedAt{}; ///< Start of the server in Unix milliseconds; empty if it isn't named.
};

using ServerReport = std::variant<CheckIn, LeaveNotice>;

/** Format in which backend servers report to the daemon beside them. */
class CheckInProtocol
{
public:
    virtual ~CheckInProtocol() = default;

    /** Reads a report; empty if @p request is not a valid one. */
    virtual std::optional<ServerReport> decode(const HttpRequest &request) const = 0;

    /** Response that acknowledges a report. */
    virtual HttpResponse acknowledge() const = 0;

    /** Response to a request that is not a valid report, or that comes from another server than the local one. */
    virtual HttpResponse reject() const = 0;
};

} // namespace Hibiscus

#endif
