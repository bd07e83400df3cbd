#ifndef HIBISCUS_MESH_CHECKINPROTOCOL_H
#define HIBISCUS_MESH_CHECKINPROTOCOL_H

#include "directory/checkin.h"
#include "http/httpmessage.h"

#include <optional>
#include <variant>

namespace Hibiscus
{

/** A backend server ends. */
struct LeaveNotice {
    ServerName name;
};

using ServerReport = std::variant<CheckIn, LeaveNotice>;

/** How backend servers report to the daemon beside them. */
class CheckInProtocol
{
public:
    virtual ~CheckInProtocol() = default;

    /** Empty for anything that is not a report. */
    virtual std::optional<ServerReport> decode(const HttpRequest &request) const = 0;

    /** Acknowledges a report. */
    virtual HttpResponse acknowledge() const = 0;

    /** Answer to what is not a report. */
    virtual HttpResponse reject() const = 0;
};

} // namespace Hibiscus

#endif
