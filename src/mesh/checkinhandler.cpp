#include "mesh/checkinhandler.h"

#include "core/chronotime.h"
#include "core/logevent.h"

#include <memory>

#include <asio/steady_timer.hpp>

namespace Hibiscus
{

namespace
{

/** Fraction of the server's timeout that a write to the store may take; the rest is for the acknowledgement. */
constexpr double kStoreTimeoutShare = 0.7;
/** Longest report. Its values take many times as much memory once they are parsed. */
constexpr std::size_t kMaximumReportBytes = 64U << 10U;

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
    const std::optional<ServerReport> report =
        request.body.size() <= kMaximumReportBytes ? protocol_.decode(request) : std::nullopt;
    if (!report) {
        logEvent(LogEvent::CheckInRejected, "unreadable report: " + request.method + " " + request.target);
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
                 "check-in of " + checkIn.name.value() + " at " + checkIn.address.value()
                     + ", which is not the local server");
        respond(protocol_.reject());
        return;
    case CheckInResult::Stale:
        respond(protocol_.acknowledge());
        return;
    case CheckInResult::Unchanged:
        callbacks_.received();
        respond(protocol_.acknowledge());
        return;
    case CheckInResult::Started:
    case CheckInResult::Changed:
        callbacks_.received();
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
    const bool hadServer = server_.current().has_value();
    const std::optional<std::int64_t> startedAt = server_.leave(notice.name, notice.startedAt);
    if (!startedAt) {
        // A delayed heartbeat could still make this server the local one, so the daemon can't acknowledge that the
        // server gets no new work.
        logEvent(LogEvent::CheckInRejected,
                 "leave notice of " + notice.name.value() + ", which is not the local server");
        respond(protocol_.reject());
        return;
    }
    if (hadServer && !server_.current()) {
        callbacks_.serverChanged(CheckInResult::Changed);
    }
    callbacks_.retire(notice.name, *startedAt, acknowledgeLater(std::move(respond)));
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
        if (const HttpResponder responder = std::exchange(pending->respond, nullptr)) {
            pending->timer.cancel();
            responder(protocol_.acknowledge());
        }
    };
    pending->timer.expires_after(toChrono(checkInTimeout_ * kStoreTimeoutShare));
    pending->timer.async_wait([this, send](const asio::error_code &error) {
        if (!error) {
            callbacks_.announce();
            send();
        }
    });
    return send;
}

} // namespace Hibiscus
