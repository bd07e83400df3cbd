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
 * Heartbeats of the backend server beside this daemon.
 *
 * A change is in force here before it is acknowledged, and in the store as well, unless the store takes longer than the
 * server waits.
 */
class CheckInHandler : public HttpHandler
{
public:
    struct Callbacks {
        /** The local server changed as @p result says. */
        std::function<void(CheckInResult result)> serverChanged;
        /** Brings the state of a server that is still there to the store. */
        std::function<void(RegistrationWriter::Done done)> publish;
        /** Takes a server that has left out of the store. */
        std::function<void(const ServerName &name, RegistrationWriter::Done done)> withdraw;
    };

    CheckInHandler(asio::io_context &context, LocalServer &server, const CheckInProtocol &protocol,
                   Millis checkInTimeout, Callbacks callbacks);

    void handle(HttpRequest request, HttpResponder respond) override;

private:
    void handleCheckIn(const CheckIn &checkIn, HttpResponder respond);
    void handleLeave(const LeaveNotice &notice, HttpResponder respond);
    /** Acknowledges once, when the returned function is called or the time is up. */
    RegistrationWriter::Done acknowledgeLater(HttpResponder respond);

    asio::io_context &context_;
    LocalServer &server_;
    const CheckInProtocol &protocol_;
    Millis checkInTimeout_;
    Callbacks callbacks_;
};

} // namespace Hibiscus

#endif
