#include "backend_standin/backendrequest.h"

#include "core/chronotime.h"

#include "backend_standin/responsetree.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace Hibiscus
{

namespace
{

std::string headerOr(const HttpRequest &request, std::string_view name, const std::string &fallback)
{
    const auto value = request.headers.find(name);
    return value ? std::string(*value) : fallback;
}

std::optional<TimePoint> parseDeadline(const HttpRequest &request, TimePoint now)
{
    const auto text = request.headers.find("Hibiscus-Deadline-Ms");
    double remaining = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), remaining).ec != std::errc()) {
        return std::nullopt;
    }
    return now + Millis{remaining};
}

RequestMetadata readMetadata(const BackendCore &core, const HttpRequest &request, const std::string &path)
{
    RequestMetadata metadata;
    metadata.tag = headerOr(request, kTagHeader, "");
    const std::string hop = fmt::format("{} {} {}", core.settings.service.value(), request.method, path);
    const std::string parents = headerOr(request, kCallPathHeader, "");
    metadata.callPath = parents.empty() ? hop : parents + " > " + hop;
    if (const auto context = request.headers.find("Hibiscus-Context")) {
        metadata.context = std::string(*context);
    }
    metadata.deadline = parseDeadline(request, core.clock.now());
    return metadata;
}

} // namespace

BackendRequest::BackendRequest(BackendCore &core, std::uint64_t id, HttpRequest request, std::string path,
                               HttpResponder respond, std::function<void()> ended)
    : core_(core)
    , id_(id)
    , request_(std::move(request))
    , path_(std::move(path))
    , respond_(std::move(respond))
    , ended_(std::move(ended))
    , route_(routeFor(core.settings, request_.method, path_))
    , metadata_(readMetadata(core, request_, path_))
    , workTimer_(core.context)
    , deadlineTimer_(core.context)
{
    responseHeaders_.add(kTagHeader, metadata_.tag);
    responseHeaders_.add("X-Server", core.settings.name);
    if (const auto attempt = request_.headers.find("Hibiscus-Attempt")) {
        responseHeaders_.add("Hibiscus-Attempt", std::string(*attempt));
    }
}

void BackendRequest::start()
{
    if (core_.faults.draining) {
        refuse("draining");
        return;
    }
    if (metadata_.deadline && *metadata_.deadline <= core_.clock.now()) {
        refuse("deadline has passed");
        return;
    }
    startDeadlineTimer();
    const auto self = shared_from_this();
    if (core_.slots.enqueue(id_, [self] { self->startWork(); }) == SlotQueue::EnqueueResult::Refused) {
        refuse("overloaded");
    }
}

void BackendRequest::cancel()
{
    if (end()) {
        ++core_.counters.cancelled;
    }
}

void BackendRequest::startDeadlineTimer()
{
    if (!metadata_.deadline) {
        return;
    }
    deadlineTimer_.expires_after(toChrono(*metadata_.deadline - core_.clock.now()));
    deadlineTimer_.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->handleDeadline();
        }
    });
}

void BackendRequest::handleDeadline()
{
    if (state_ == State::Waiting) {
        refuse("deadline has passed");
        return;
    }
    ++core_.counters.late;
    fail(504, "deadline passed while running");
}

void BackendRequest::startWork()
{
    state_ = State::Working;
    if (path_.find("/crash") != std::string::npos) {
        core_.crash();
        return;
    }
    const bool repeatable = isRepeatable(route_, request_.method);
    if (core_.settings.logRepeatable || !repeatable) {
        core_.executions.add(metadata_.tag, metadata_.callPath, repeatable);
    }
    workTimer_.expires_after(toChrono(core_.drawServiceTime(route_)));
    workTimer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && self->state_ == State::Working) {
            self->callDownstream();
        }
    });
}

void BackendRequest::callDownstream()
{
    const auto calls = std::make_shared<DownstreamCalls>(
        core_, route_, metadata_, [self = shared_from_this()](std::optional<std::vector<std::string>> children) {
            if (!children) {
                self->fail(502, "a downstream call failed");
                return;
            }
            self->complete(*children);
        });
    downstreamCalls_ = calls;
    calls->start();
}

void BackendRequest::complete(const std::vector<std::string> &children)
{
    ++core_.counters.completed;
    std::string body = makeResponseBody(metadata_.tag, request_.body.text(), children, core_.settings.paddingBytes);
    responseHeaders_.add(kDigestHeader, responseDigest(body));
    sendResponse(200, std::move(body));
}

void BackendRequest::refuse(const std::string &reason)
{
    ++core_.counters.shed;
    responseHeaders_.add("Hibiscus-Not-Run", "1");
    sendResponse(503, reason + "\n");
}

void BackendRequest::fail(int status, const std::string &reason)
{
    sendResponse(status, reason + "\n");
}

void BackendRequest::sendResponse(int status, std::string body)
{
    const HttpResponder respond = respond_;
    if (end() && respond) {
        respond({status, responseHeaders_, std::move(body)});
    }
}

bool BackendRequest::end()
{
    if (state_ == State::Ended) {
        return false;
    }
    const bool hadSlot = std::exchange(state_, State::Ended) == State::Working;
    const auto self = shared_from_this();
    workTimer_.cancel();
    deadlineTimer_.cancel();
    if (downstreamCalls_) {
        downstreamCalls_->cancel();
        downstreamCalls_.reset();
    }
    respond_ = nullptr;
    if (hadSlot) {
        core_.slots.releaseSlot();
    } else {
        core_.slots.remove(id_);
    }
    std::exchange(ended_, nullptr)();
    return true;
}

} // namespace Hibiscus
