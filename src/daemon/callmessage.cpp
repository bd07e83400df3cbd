#include "daemon/callmessage.h"

#include "core/contenthash.h"
#include "daemon/headernames.h"

#include <array>
#include <charconv>
#include <cmath>

namespace Hibiscus
{

namespace
{

constexpr std::string_view kTargetPrefix = "/svc/";
constexpr int kBuckets = 128;

template<class Number>
std::optional<Number> parseNumber(std::optional<std::string_view> text)
{
    Number value{};
    if (!text) {
        return std::nullopt;
    }
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size()) {
        return std::nullopt;
    }
    return value;
}

std::string formatDecimal(double value)
{
    // The largest double has 309 digits.
    std::array<char, 320> buffer{};
    const auto written =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, 3);
    return {buffer.data(), written.ptr};
}

std::optional<RequestRate> parseRate(const HttpHeaders &headers)
{
    const auto perSecond = parseNumber<double>(headers.find(HeaderName::kRateLimit));
    return perSecond && std::isfinite(*perSecond) && *perSecond >= 0 ? std::optional(RequestRate{*perSecond})
                                                                     : std::nullopt;
}

void setRate(HttpHeaders &headers, const std::optional<RequestRate> &rate)
{
    if (rate) {
        headers.set(HeaderName::kRateLimit, formatDecimal(rate->perSecond));
    }
}

bool isInternalHeader(std::string_view name)
{
    return name.size() >= HeaderName::kPrefix.size()
        && sameHeaderName(name.substr(0, HeaderName::kPrefix.size()), HeaderName::kPrefix);
}

void setOptional(HttpHeaders &headers, std::string_view name, const std::optional<int> &value)
{
    if (value) {
        headers.set(name, std::to_string(*value));
    }
}

/** Id in the field @p name: an empty one if the field is missing, none if its value is no name. */
template<class Id>
std::optional<Id> readId(const HttpHeaders &headers, std::string_view name)
{
    const auto text = headers.find(name);
    return text && !text->empty() ? Id::parse(*text) : std::optional(Id());
}

} // namespace

std::optional<ServiceTarget> parseServiceTarget(const std::string &target)
{
    if (target.compare(0, kTargetPrefix.size(), kTargetPrefix) != 0) {
        return std::nullopt;
    }
    const std::size_t end = target.find('/', kTargetPrefix.size());
    const auto name =
        ServiceName::parse(std::string_view(target).substr(kTargetPrefix.size(), end - kTargetPrefix.size()));
    if (!name) {
        return std::nullopt;
    }
    return ServiceTarget{*name, end == std::string::npos ? "/" : target.substr(end)};
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders result;
    for (const HttpHeaders::Field &field : headers.fields()) {
        if (!isHopByHopHeader(field.first) && !isInternalHeader(field.first)) {
            result.add(field.first, field.second);
        }
    }
    return result;
}

HttpRequest encodeCall(const CallMessage &message, const Clock &clock)
{
    return encodeCall(message, message.call, message.call.attemptBudget, clock);
}

HttpRequest encodeCall(const CallMessage &message, const CallRequest &call, int attemptBudget, const Clock &clock)
{
    HttpRequest request{call.method, std::string(kTargetPrefix) + call.service.value() + call.path, call.headers,
                        call.body};
    // endToEndHeaders() has removed fields of these names, so none can occur twice.
    HttpHeaders &headers = request.headers;
    if (message.purpose == CallPurpose::Coordinate) {
        headers.add(std::string(HeaderName::kCoordinate), "1");
    } else {
        headers.add(std::string(HeaderName::kAttempt), std::to_string(message.attempt.value()));
        headers.add(std::string(HeaderName::kIncarnation), std::to_string(message.incarnation.value()));
        headers.add(std::string(HeaderName::kServer), message.server.value());
        headers.add(std::string(HeaderName::kSender), message.sender.value());
        setRate(headers, message.rateLimit);
    }
    if (!call.host.empty()) {
        headers.add(std::string(HeaderName::kHost), call.host);
    }
    if (!call.route.empty()) {
        headers.add(std::string(HeaderName::kRoute), call.route);
        headers.add(std::string(HeaderName::kCallerRequest), call.requestId);
    }
    headers.add(std::string(HeaderName::kClass), call.root.requestClass.value());
    headers.add(std::string(HeaderName::kRank), std::to_string(call.root.rank));
    headers.add(std::string(HeaderName::kBucket), std::to_string(call.root.bucket));
    headers.add(std::string(HeaderName::kAttemptBudget), std::to_string(attemptBudget));
    headers.add(std::string(HeaderName::kDeadline), formatDecimal((call.deadline - clock.now()).value));
    if (call.root.identity) {
        headers.add(std::string(HeaderName::kRequestId), formatRequestIdentity(*call.root.identity));
    }
    if (!call.callPath.empty()) {
        headers.add(std::string(HeaderName::kCallPath), call.callPath);
    }
    if (!call.repeatable) {
        headers.add(std::string(HeaderName::kOnce), "1");
    }
    return request;
}

Result<CallMessage> decodeCall(HttpRequest request, const Clock &clock)
{
    const std::optional<ServiceTarget> target = parseServiceTarget(request.target);
    const HttpHeaders &headers = request.headers;
    const auto attempt = parseNumber<std::uint64_t>(headers.find(HeaderName::kAttempt));
    const bool coordinate = headers.find(HeaderName::kCoordinate).has_value();
    const auto incarnation = parseNumber<std::uint64_t>(headers.find(HeaderName::kIncarnation));
    const auto rank = parseNumber<int>(headers.find(HeaderName::kRank));
    const auto bucket = parseNumber<int>(headers.find(HeaderName::kBucket));
    const auto attemptBudget = parseNumber<int>(headers.find(HeaderName::kAttemptBudget));
    const auto deadline = parseNumber<double>(headers.find(HeaderName::kDeadline));
    const auto requestClass = readId<ClassName>(headers, HeaderName::kClass);
    const auto route = readId<ClassName>(headers, HeaderName::kRoute);
    const auto sender = readId<HostAddress>(headers, HeaderName::kSender);
    const auto server = readId<ServerName>(headers, HeaderName::kServer);
    const bool addressed = coordinate || (attempt && incarnation);
    if (!target || !addressed || !rank || !bucket || !attemptBudget || !deadline || !requestClass || !route || !sender
        || !server || !headers.find(HeaderName::kClass)) {
        return tl::unexpected(ErrorKind::BadRequest);
    }
    if (*bucket < 0 || *bucket >= kBuckets || *attemptBudget < 0 || *rank < 0) {
        return tl::unexpected(ErrorKind::BadRequest);
    }

    CallMessage message;
    message.purpose = coordinate ? CallPurpose::Coordinate : CallPurpose::Execute;
    message.attempt = AttemptId(attempt.value_or(0));
    message.incarnation = Incarnation(incarnation.value_or(0));
    message.sender = *sender;
    message.server = *server;
    message.rateLimit = parseRate(headers);
    CallRequest &call = message.call;
    if (const auto identity = headers.find(HeaderName::kRequestId)) {
        call.root.identity = parseRequestIdentity(*identity);
        if (!call.root.identity) {
            return tl::unexpected(ErrorKind::BadRequest);
        }
    }
    call.service = target->service;
    call.method = std::move(request.method);
    call.path = target->path;
    call.host = std::string(headers.find(HeaderName::kHost).value_or(""));
    call.route = route->value();
    call.requestId = std::string(headers.find(HeaderName::kCallerRequest).value_or(""));
    call.root.requestClass = *requestClass;
    call.root.rank = *rank;
    call.root.bucket = *bucket;
    call.callPath = std::string(headers.find(HeaderName::kCallPath).value_or(""));
    call.repeatable = !headers.find(HeaderName::kOnce).has_value();
    call.deadline = clock.now() + Millis{*deadline};
    call.attemptBudget = *attemptBudget;
    call.headers = endToEndHeaders(headers);
    call.body = std::move(request.body);
    call.signature = requestSignature(call.service, call.method, call.path, call.body.text());
    return message;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

CallResult failedResult(ErrorKind kind)
{
    CallResult result;
    result.response = tl::unexpected(kind);
    if (result.outcome() == Outcome::NotRun) {
        result.spent = 0;
    }
    return result;
}

HttpResponse encodeResult(CallResult result)
{
    HttpResponse response;
    if (result.response) {
        response = std::move(*result.response);
        response.headers = endToEndHeaders(response.headers);
    } else {
        const ErrorResponse &error = errorResponseFor(result.response.error());
        response.status = error.httpStatus;
        response.headers.add("Content-Type", "text/plain");
        response.headers.set(HeaderName::kError, std::string(error.name));
        response.body = std::string(outcomeName(error.outcome)) + ": " + std::string(error.name) + "\n";
    }
    const Outcome outcome = result.response ? Outcome::Completed : errorResponseFor(result.response.error()).outcome;
    response.headers.set(HeaderName::kOutcome, std::string(outcomeName(outcome)));
    setOptional(response.headers, HeaderName::kSpent, result.spent);
    setOptional(response.headers, HeaderName::kLevel, result.level);
    setOptional(response.headers, HeaderName::kSubtreeLevel, result.subtreeLevel);
    setOptional(response.headers, HeaderName::kHeadroom, result.headroom);
    setOptional(response.headers, HeaderName::kLimit, result.limit);
    setOptional(response.headers, HeaderName::kSlowdown, result.slowdownPercent);
    setOptional(response.headers, HeaderName::kFailing, result.failingPercent);
    setRate(response.headers, result.rateLimit);
    if (result.serverLeaving) {
        response.headers.set(HeaderName::kLeaving, "1");
    }
    if (result.incarnation) {
        response.headers.set(HeaderName::kIncarnation, std::to_string(result.incarnation->value()));
    }
    if (result.retryAfter) {
        response.headers.set(HeaderName::kRetryAfter, formatDecimal(result.retryAfter->value));
    }
    return response;
}

CallResult decodeResult(HttpResponse response)
{
    CallResult result;
    result.spent = parseNumber<int>(response.headers.find(HeaderName::kSpent));
    result.level = parseNumber<int>(response.headers.find(HeaderName::kLevel));
    result.subtreeLevel = parseNumber<int>(response.headers.find(HeaderName::kSubtreeLevel));
    result.headroom = parseNumber<int>(response.headers.find(HeaderName::kHeadroom));
    result.limit = parseNumber<int>(response.headers.find(HeaderName::kLimit));
    result.slowdownPercent = parseNumber<int>(response.headers.find(HeaderName::kSlowdown));
    result.failingPercent = parseNumber<int>(response.headers.find(HeaderName::kFailing));
    result.rateLimit = parseRate(response.headers);
    result.serverLeaving = response.headers.find(HeaderName::kLeaving) == "1";
    if (const auto incarnation = parseNumber<std::uint64_t>(response.headers.find(HeaderName::kIncarnation))) {
        result.incarnation = Incarnation(*incarnation);
    }
    if (const auto retryAfter = parseNumber<double>(response.headers.find(HeaderName::kRetryAfter))) {
        result.retryAfter = Millis{*retryAfter};
    }
    const auto outcome = outcomeFromName(response.headers.find(HeaderName::kOutcome).value_or(""));
    if (outcome == Outcome::Completed) {
        response.headers = endToEndHeaders(response.headers);
        result.response = std::move(response);
        return result;
    }
    const auto kind = errorKindFromName(response.headers.find(HeaderName::kError).value_or(""));
    if (kind && outcome == errorResponseFor(*kind).outcome) {
        result.response = tl::unexpected(*kind);
    }
    return result;
}

} // namespace Hibiscus
