#ifndef HIBISCUS_MESH_CHECKINHANDLER_H
#define HIBISCUS_MESH_CHECKINHANDLER_H

#include "directory/localserver.h"
#include "discovery/registrationwriter.h"
#include "http/httphandler.h"
#include "mesh/checkinprotocol.h"

#include <functional>

#include <asio/io_context.hpp>

namespace Hibiscus
{

/**
 * Receives the heartbeats of the backend server beside this daemon.
 *
 * A change takes effect in this process before it is acknowledged. The acknowledgement of a drain or a leave is also
 * delayed until the store has the change, unless the store takes longer than the server waits.
 */
class CheckInHandler : public HttpHandler
{
public:
    struct Callbacks {
        /** A check-in of the present local server arrives. */
        std::function<void()> received;
        /** The local server has changed; @p result is Started or Changed. */
        std::function<void(CheckInResult result)> serverChanged;
        /** Writes the registration of the local server to the store. */
        std::function<void(RegistrationWriter::Done done)> publish;
        /** Writes to the store that the server process which started at @p startedAt has left. */
        std::function<void(const ServerName &name, std::int64_t startedAt, RegistrationWriter::Done done)> retire;
        /** Tells other daemons at once what the store may not have yet. */
        std::function<void()> announce;
    };

    /** @p checkInTimeout is the time for which the server waits for the acknowledgement of a report. */
    CheckInHandler(asio::io_context &context, LocalServer &server, const CheckInProtocol &protocol,
                   Millis checkInTimeout, Callbacks callbacks);

    void handle(HttpRequest request, HttpResponder respond) override;

private:
    void handleCheckIn(const CheckIn &checkIn, HttpResponder respond);
    void handleLeave(const LeaveNotice &notice, HttpResponder respond);
    /** Acknowledges once: when the returned function is called, or when the share of the server's timeout that is
     * reserved for the store has passed. */
    RegistrationWriter::Done acknowledgeLater(HttpResponder respond);

    asio::io_context &context_;
    LocalServer &server_;
    const CheckInProtocol &protocol_;
    Millis checkInTimeout_;
    Callbacks callbacks_;
};

} // namespace Hibiscus

#endif
