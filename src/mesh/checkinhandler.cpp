#include "mesh/checkinhandler.h"

#include "core/chronotime.h"
#include "core/logevent.h"

#include <memory>

#include <asio/steady_timer.hpp>

namespace Hibiscus
{

namespace
{

/** Share of the server's patience for which the store is waited for. */
constexpr double kStoreShare = 0.7;

} // namespace

CheckInHandler::CheckInHandler(asio::io_context &context, LocalServer &server, const CheckInProtocol &protocol,
                               Millis checkInTimeout, Callbacks callbacks)
    : context_(context)
    , server_(server)
    , protocol_(protocol)
    , checkInTimeout_(checkInTimeout)
    , callbacks_(std::move(callbacks))
{
}

void CheckInHandler::handle(HttpRequest request, HttpResponder respond)
{
    const std::optional<ServerReport> report = protocol_.decode(request);
    if (!report) {
        logEvent(LogEvent::CheckInRejected, "unreadable: " + request.method + " " + request.target);
        respond(protocol_.reject());
        return;
    }
    if (const auto *checkIn = std::get_if<CheckIn>(&*report)) {
        handleCheckIn(*checkIn, std::move(respond));
    } else {
        handleLeave(std::get<LeaveNotice>(*report), std::move(respond));
    }
}

void CheckInHandler::handleCheckIn(const CheckIn &checkIn, HttpResponder respond)
{
    const CheckInResult result = server_.receive(checkIn);
    switch (result) {
    case CheckInResult::NotLocal:
        logEvent(LogEvent::CheckInRejected,
                 "server " + checkIn.name.value() + " at " + checkIn.address.value()
                     + " is not the one beside this daemon");
        respond(protocol_.reject());
        return;
    case CheckInResult::Stale:
    case CheckInResult::Unchanged:
        respond(protocol_.acknowledge());
        return;
    case CheckInResult::Started:
    case CheckInResult::Changed:
        break;
    }
    callbacks_.serverChanged(result);
    if (server_.current()->state == ServerState::Draining) {
        callbacks_.publish(acknowledgeLater(std::move(respond)));
        return;
    }
    callbacks_.publish(nullptr);
    respond(protocol_.acknowledge());
}

void CheckInHandler::handleLeave(const LeaveNotice &notice, HttpResponder respond)
{
    if (server_.leave(notice.name)) {
        callbacks_.serverChanged(CheckInResult::Changed);
        callbacks_.withdraw(notice.name, acknowledgeLater(std::move(respond)));
        return;
    }
    // A late heartbeat of a server that is not known could still make it the local one, so nothing can be promised.
    logEvent(LogEvent::CheckInRejected, "departure of " + notice.name.value() + ", which is not the local server");
    respond(protocol_.reject());
}

RegistrationWriter::Done CheckInHandler::acknowledgeLater(HttpResponder respond)
{
    struct Acknowledgement {
        explicit Acknowledgement(asio::io_context &context)
            : timer(context)
        {
        }
        asio::steady_timer timer;
        HttpResponder respond;
    };
    const auto pending = std::make_shared<Acknowledgement>(context_);
    pending->respond = std::move(respond);
    const auto send = [this, pending] {
        if (const HttpResponder once = std::exchange(pending->respond, nullptr)) {
            pending->timer.cancel();
            once(protocol_.acknowledge());
        }
    };
    pending->timer.expires_after(toChrono(checkInTimeout_ * kStoreShare));
    pending->timer.async_wait([send](const asio::error_code &error) {
        if (!error) {
            send();
        }
    });
    return send;
}

} // namespace Hibiscus
