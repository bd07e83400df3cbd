#include "http/serverconnection.h"

#include "core/chronotime.h"
#include "core/messageguard.h"
#include "http/responsewriter.h"

#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/dispatch.hpp>

namespace Hibiscus
{

namespace
{

/** Pipelined requests that may be handled at the same time. The connection is read while requests are handled, so that
 * its end is noticed. */
constexpr std::size_t kMaximumPipelinedRequests = 32;
constexpr std::size_t kReadBufferBytes = 65536;
/** Time for the client to read the last response. Closing while received bytes are unread resets the connection, and
 * the client could lose the response. */
constexpr Millis kLingerTimeout{1000};
constexpr const char *kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int kStatusUnavailable = 503;
/** Response bytes that a client may leave unread before no more requests of it are read. */
constexpr std::size_t kMaximumUnreadBytes = 65536;

} // namespace

ServerConnection::ServerConnection(Socket socket, std::uint64_t id, const ServerConnectionSettings &settings,
                                   HttpHandler &handler, const Clock &clock, ClosedCallback onClosed)
    : socket_(std::move(socket))
    , id_(id)
    , settings_(settings)
    , handler_(&handler)
    , clock_(clock)
    , onClosed_(std::move(onClosed))
    , parser_(settings.limits)
    , account_(settings.budget, settings.share)
    , lastActivity_(clock.now())
    , messageStarted_(lastActivity_)
{
}

template<class Step>
void ServerConnection::post(Step step)
{
    asio::dispatch(socket_.get_executor(), [self = shared_from_this(), step = std::move(step)]() mutable {
        if (!self->closed_) {
            step(*self);
        }
    });
}

void ServerConnection::start()
{
    asio::error_code error;
    socket_.non_blocking(true, error);
    socket_.set_option(asio::ip::tcp::no_delay(true), error);
    post([](ServerConnection &self) { self.account_.open(self) ? self.waitForInput() : self.close(); });
}

void ServerConnection::closeWhenIdle()
{
    post([](ServerConnection &self) {
        self.acceptNoMoreRequests();
        if (self.closing_ && self.pendingRequests_.empty() && self.output_.isEmpty()) {
            self.lingerThenClose();
        }
    });
}

void ServerConnection::checkTimeouts()
{
    post([](ServerConnection &self) {
        const std::optional<ClientEnd> end = self.exceededTimeout(self.clock_.now());
        if (end && !(self.reading_ && self.hasInput())) {
            self.close(*end);
        }
    });
}

/** Whether the client has sent what has not been read yet, as after a pause of this process. */
bool ServerConnection::hasInput() const
{
    asio::error_code ignored;
    return socket_.available(ignored) > 0;
}

std::optional<ClientEnd> ServerConnection::exceededTimeout(TimePoint now) const
{
    using Exceeded = std::optional<ClientEnd>;
    const Millis quiet = now - lastActivity_;
    if (lingering_) {
        const bool isLong = quiet > kLingerTimeout || now - lingerStarted_ > settings_.idleTimeout;
        return isLong ? Exceeded(ClientEnd::Closed) : std::nullopt;
    }
    if (!pendingRequests_.empty()) {
        const bool isStuck = now - pendingRequests_.front()->received > settings_.requestTimeout
            || (!output_.isEmpty() && quiet > settings_.idleTimeout);
        return isStuck ? Exceeded(ClientEnd::RequestTimeout) : std::nullopt;
    }
    if (parser_.isInMessage() && !parser_.isInBody() && now - messageStarted_ > settings_.headerTimeout) {
        return ClientEnd::HeaderTimeout;
    }
    return quiet > settings_.idleTimeout ? Exceeded(ClientEnd::IdleTimeout) : std::nullopt;
}

void ServerConnection::detach()
{
    handler_ = nullptr;
    onClosed_ = nullptr;
    account_.detach();
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
}

void ServerConnection::waitForInput()
{
    if (reading_ || closed_) {
        return;
    }
    reading_ = true;
    // Waits before it reads, so that idle connections need no buffer of their own.
    socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const asio::error_code &error) {
        self->reading_ = false;
        if (!self->closed_) {
            error ? self->close() : self->readInput();
        }
    });
}

void ServerConnection::readInput()
{
    // Shared by all connections of the thread.
    static thread_local std::array<char, kReadBufferBytes> buffer;
    asio::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    if (error) {
        waitForInput();
        return;
    }
    if (closing_) {
        // The client resends what follows the last request on another connection. Until that has its response, a client
        // is active only if it reads.
        lastActivity_ = lingering_ ? clock_.now() : lastActivity_;
        waitForInput();
        return;
    }
    lastActivity_ = clock_.now();
    if (input_.empty() && !parser_.isInMessage()) {
        messageStarted_ = lastActivity_;
        parser_.setLimits(settings_.limits);
    }
    account_.recordProgress(size);
    input_.append(buffer.data(), size);
    parseInput();
}

void ServerConnection::parseInput()
{
    if (parsing_) {
        return; // The loop below goes on by itself after a response that comes at once.
    }
    parsing_ = true;
    std::size_t offset = 0;
    while (!closing_ && !closed_ && offset < input_.size() && !isPaused()) {
        std::size_t used = 0;
        const RequestParser::State state = parser_.feed(std::string_view(input_).substr(offset), used);
        offset += used;
        if (state == RequestParser::State::Malformed) {
            reject(parser_.errorStatus());
        }
        if (state != RequestParser::State::Complete || !dispatchRequest()) {
            break;
        }
    }
    parsing_ = false;
    if (closed_) {
        return;
    }
    input_.erase(0, closing_ ? input_.size() : offset);
    if (input_.empty()) {
        input_.shrink_to_fit();
    }
    if (parser_.expectsContinue() && !continueSent_) {
        continueSent_ = true;
        output_.tail().append(kContinue);
        write();
    }
    updateAccount();
    paused_ = !closing_ && isPaused();
    if (!paused_) {
        waitForInput();
    }
}

/** Whether no more of the client's requests are read for now. */
bool ServerConnection::isPaused() const
{
    return pendingRequests_.size() >= kMaximumPipelinedRequests || output_.heldBytes() > kMaximumUnreadBytes;
}

void ServerConnection::resume()
{
    if (paused_ && !closed_ && !closing_ && !isPaused()) {
        parseInput();
    }
}

bool ServerConnection::dispatchRequest()
{
    HttpRequest request = parser_.extractRequest();
    request.connection = id_;
    parser_.setLimits(settings_.limits);
    continueSent_ = false;
    messageStarted_ = lastActivity_;
    const std::size_t heldBytes = request.body.size() + request.headers.heldBytes();
    const auto pending =
        std::make_shared<PendingRequest>(parser_.keepAlive(), isHeadMethod(request.method), lastActivity_, heldBytes);
    account_.addRequest(pending->requestBytes);
    pendingRequests_.push_back(pending);
    closing_ = closing_ || closeRequested_ || !pending->keepAlive;
    if (handler_ == nullptr) {
        return false;
    }
    HttpResponder respond = [weak = weak_from_this(), pending](HttpResponse response) {
        if (const auto self = weak.lock()) {
            self->post([pending, response = std::move(response)](ServerConnection &connection) mutable {
                connection.setResponse(pending, std::move(response));
            });
        }
    };
    const bool handled = guardMessage("request", [&] { handler_->handle(std::move(request), std::move(respond)); });
    if (!handled) {
        // What became of the request is unknown, so the caller gets no response rather than a wrong one.
        close();
    }
    return !closed_;
}

/**
 * Makes the request that is being received the last one, or if there is none the one before it. Its response announces
 * the close. A client that always has one more request under way would otherwise never be told.
 */
void ServerConnection::acceptNoMoreRequests()
{
    closeRequested_ = true;
    if (closing_ || parser_.isInMessage()) {
        return;
    }
    closing_ = true;
    std::string().swap(input_);
    if (std::exchange(paused_, false)) {
        // The end of the client is noticed while its requests are handled.
        waitForInput();
    }
}

void ServerConnection::setResponse(const std::shared_ptr<PendingRequest> &pending, HttpResponse response)
{
    pending->setResponse(std::move(response));
    account_.addResponse(pending->requestBytes, pending->responseBytes);
    if (pending->response->closesConnection) {
        acceptNoMoreRequests();
    }
    writeReadyResponses();
}

/** Responds with @p status to a request that is not complete, and reads no more. */
void ServerConnection::reject(int status)
{
    closing_ = true;
    std::string().swap(input_);
    parser_.discard();
    const auto pending = std::make_shared<PendingRequest>(false, false, lastActivity_, 0);
    pending->response = HttpResponse{status, {}, ""};
    pendingRequests_.push_back(pending);
    writeReadyResponses();
}

void ServerConnection::writeReadyResponses()
{
    while (!pendingRequests_.empty() && pendingRequests_.front()->response) {
        const std::shared_ptr<PendingRequest> pending = pendingRequests_.front();
        pendingRequests_.pop_front();
        // Every accepted request gets a response, so only the last response may announce the close.
        const bool isLast = closing_ && pendingRequests_.empty();
        account_.removeResponse(pending->responseBytes);
        appendResponse(output_.tail(), *pending->response, !isLast, pending->isHead);
    }
    write();
    updateAccount();
    resume();
}

void ServerConnection::write()
{
    if (!closed_ && output_.beginSending()) {
        writeSome();
    }
}

void ServerConnection::writeSome()
{
    asio::error_code error;
    const std::size_t size = socket_.write_some(output_.unsent(), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    if (!error) {
        output_.consume(size);
        lastActivity_ = clock_.now();
        account_.recordProgress(size);
    }
    if (output_.unsent().size() == 0) {
        onWriteFinished();
        return;
    }
    socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const asio::error_code &failure) {
        if (!self->closed_) {
            failure ? self->close() : self->writeSome();
        }
    });
}

void ServerConnection::onWriteFinished()
{
    if (!output_.isEmpty()) {
        write();
        return;
    }
    if (closing_ && pendingRequests_.empty()) {
        lingerThenClose();
    }
    updateAccount();
    resume();
}

void ServerConnection::lingerThenClose()
{
    if (lingering_) {
        return;
    }
    lingering_ = true;
    closing_ = true;
    lastActivity_ = clock_.now();
    lingerStarted_ = lastActivity_;
    asio::error_code error;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    waitForInput();
}

ClientState ServerConnection::state() const
{
    if (!output_.isEmpty()) {
        return ClientState::Unread;
    }
    if (!input_.empty() || parser_.isInMessage()) {
        return ClientState::Receiving;
    }
    return pendingRequests_.empty() ? ClientState::Idle : ClientState::Handling;
}

/** Tells the budget what the connection holds. The budget may close this connection. */
void ServerConnection::updateAccount()
{
    if (!parsing_) {
        account_.update(input_.size() + parser_.heldBytes(), output_.heldBytes(), state());
    }
}

void ServerConnection::cutOff(ClientEnd end)
{
    const auto self = shared_from_this(); // The server forgets the connection.
    const bool canRefuse =
        end == ClientEnd::HeldBytes && state() == ClientState::Receiving && !closing_ && pendingRequests_.empty();
    account_.setReason(end);
    canRefuse ? reject(kStatusUnavailable) : close(end);
}

void ServerConnection::close(ClientEnd end)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    std::string().swap(input_);
    output_.clear();
    parser_.discard();
    account_.close(end);
    if (handler_ != nullptr) {
        handler_->connectionClosed(id_);
    }
    if (onClosed_) {
        onClosed_(id_);
    }
}

} // namespace Hibiscus
