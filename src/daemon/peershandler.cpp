#include "daemon/peershandler.h"

#include "daemon/headernames.h"

namespace Hibiscus
{

namespace
{

constexpr std::string_view kAttemptsPrefix = "/attempts/";
constexpr int kStatusOk = 200;
constexpr int kStatusRunning = 202;
constexpr int kStatusTooLarge = 413;
/** Longest control message. Its values take many times as much memory once they are parsed. */
constexpr std::size_t kMaximumControlBytes = 512U << 10U;

HttpResponse refusal(ErrorKind kind)
{
    return encodeResult(failedResult(kind));
}

HttpResponse encodeReport(const OutcomeReport &report)
{
    switch (report.outcome) {
    case AttemptOutcome::Running:
        return {kStatusRunning, {}, ""};
    case AttemptOutcome::Completed: {
        HttpResponse stored{report.response->status, {}, report.response->body};
        for (const auto &[name, value] : report.response->headers) {
            stored.headers.add(name, value);
        }
        CallResult result;
        result.response = std::move(stored);
        return encodeResult(std::move(result));
    }
    case AttemptOutcome::NotRun:
        return refusal(ErrorKind::Unreachable);
    case AttemptOutcome::CompletedNotKept:
    case AttemptOutcome::Unknown:
        break;
    }
    return refusal(ErrorKind::ConnectionLost);
}

} // namespace

PeersHandler::PeersHandler(CallServices &services, CoordinateFunction coordinate, ControlFunction control,
                           ContactFunction contact)
    : services_(services)
    , coordinate_(std::move(coordinate))
    , control_(std::move(control))
    , contact_(std::move(contact))
{
}

void PeersHandler::handle(HttpRequest request, HttpResponder respond)
{
    if (request.target == "/control") {
        if (request.body.size() > kMaximumControlBytes) {
            respond({kStatusTooLarge, {}, ""});
            return;
        }
        control_(request.body, [respond = std::move(respond)](std::string body) {
            HttpResponse response{kStatusOk, {}, std::move(body)};
            response.headers.add("Content-Type", "application/json");
            respond(std::move(response));
        });
        return;
    }
    if (request.target.compare(0, kAttemptsPrefix.size(), kAttemptsPrefix) == 0) {
        respond(handleQueryOrCancel(request));
        return;
    }
    handleCall(std::move(request), std::move(respond));
}

void PeersHandler::handleCall(HttpRequest request, HttpResponder respond)
{
    Result<CallMessage> message = decodeCall(std::move(request), services_.clock);
    if (!message) {
        respond(refusal(message.error()));
        return;
    }
    if (message->purpose == CallPurpose::Coordinate) {
        coordinate_(std::move(message->call),
                    [respond = std::move(respond)](CallResult result) { respond(encodeResult(std::move(result))); });
        return;
    }
    if (contact_ && !message->sender.value().empty()) {
        contact_(message->sender);
    }
    const std::string attempt = std::to_string(message->attempt.value());
    services_.gateway.execute(std::move(*message), [respond = std::move(respond), attempt](CallResult result) {
        HttpResponse response = encodeResult(std::move(result));
        response.headers.set(HeaderName::kAttempt, attempt);
        respond(std::move(response));
    });
}

HttpResponse PeersHandler::handleQueryOrCancel(const HttpRequest &request)
{
    const auto attempt = parseUnsigned(std::string_view(request.target).substr(kAttemptsPrefix.size()));
    if (!attempt) {
        return refusal(ErrorKind::BadRequest);
    }
    if (request.method == "DELETE") {
        services_.gateway.cancel(AttemptId(*attempt));
        return {kStatusOk, {}, ""};
    }
    return queryOutcome(AttemptId(*attempt), request);
}

HttpResponse PeersHandler::queryOutcome(AttemptId attempt, const HttpRequest &request)
{
    const auto incarnation = parseUnsigned(request.headers.find(HeaderName::kIncarnation).value_or(""));
    if (!incarnation) {
        return refusal(ErrorKind::BadRequest);
    }
    return encodeReport(services_.tables.attempts.with(
        [&](AttemptTable &attempts) { return attempts.query(attempt, Incarnation(*incarnation)); }));
}

} // namespace Hibiscus
