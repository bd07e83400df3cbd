#include "http/httpexchange.h"

#include "core/chronotime.h"
#include "http/endpoint.h"
#include "http/requestwriter.h"
#include "http/socketoptions.h"

#include <algorithm>
#include <array>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

constexpr std::size_t kReadBufferBytes = 65536;
/** Fraction of the idle timeout stated by the server after which a connection is not reused. */
constexpr double kIdleTimeoutFraction = 0.8;
/** Messages up to this size fit into the receive window of a server that reads nothing at all. */
constexpr std::size_t kSmallMessageBytes = 16384;
/** Late responses to earlier requests that are dropped before the connection is given up. */
constexpr int kMaximumDroppedResponses = 8;
/** Time without progress after which the rest of a body is given up, when the response is already there. */
constexpr Millis kUploadStallTimeout{10000};
/** Bytes after the response that are ignored while the rest of the body is sent. */
constexpr std::size_t kMaximumDiscardedBytes = 65536;
constexpr int kFirstFailureStatus = 300;

} // namespace

HttpExchange::HttpExchange(std::shared_ptr<ConnectionPool> pool, HostAddress address, const HttpRequest &request,
                           const HttpCallOptions &options, HttpCallback callback)
    : pool_(std::move(pool))
    , address_(std::move(address))
    , options_(options)
    , callback_(std::move(callback))
    , strand_(asio::make_strand(pool_->context()))
    , socket_(strand_)
    , timer_(strand_)
    , head_(serializeRequestHead(address_, request, options_.singleUse))
    , body_(request.body)
    , progress_(head_.size(), head_.size() + request.body.size(), options_.start)
    , isHead_(isHeadMethod(request.method))
    , parser_(std::make_unique<ResponseParser>(options.maximumBodyBytes, isHead_))
{
    if (!options_.echoedField.empty()) {
        echoedValue_ = request.headers.find(options_.echoedField).value_or("");
    }
}

HttpExchange::~HttpExchange()
{
    pool_->receiveBudget().release(accountedBytes_);
    if (uploading_) {
        --pool_->unfinishedUploads;
    }
}

void HttpExchange::start()
{
    if (!options_.freshConnection && !options_.singleUse) {
        if (std::optional<ConnectionPool::Socket> idle = pool_->popIdle(address_)) {
            socket_ = std::move(*idle);
            post(&HttpExchange::write);
            return;
        }
    }
    post(&HttpExchange::connect);
}

void HttpExchange::cancel()
{
    post(&HttpExchange::fail);
}

bool HttpExchange::withdraw()
{
    if (!progress_.withdraw()) {
        return false;
    }
    cancel();
    return true;
}

void HttpExchange::post(void (HttpExchange::*step)())
{
    asio::post(strand_, [self = shared_from_this(), step] {
        if (!self->closed_) {
            ((*self).*step)();
        }
    });
}

void HttpExchange::connect()
{
    const std::optional<asio::ip::tcp::endpoint> endpoint = parseEndpoint(address_);
    if (!endpoint) {
        fail();
        return;
    }
    armTimer(options_.connectTimeout);
    if (!options_.localAddress.empty() && !bindSocket(socket_, options_.localAddress, *endpoint)) {
        fail();
        return;
    }
    socket_.async_connect(*endpoint, bind([](HttpExchange &self, const asio::error_code &error, std::size_t) {
        if (error) {
            self.fail();
            return;
        }
        setClientOptions(self.socket_);
        if (self.options_.probesPeer) {
            probePeer(self.socket_);
        }
        self.write();
    }));
}

void HttpExchange::write()
{
    connected_ = true;
    armTimer(options_.responseTimeout);
    if (options_.start == RequestStart::AtHead && messageBytes() > kSmallMessageBytes) {
        clearUserTimeout(socket_);
    }
    writeSome();
    if (!closed_) {
        read();
    }
}

void HttpExchange::writeSome()
{
    if (!progress_.beginWrite()) {
        fail();
        return;
    }
    asio::error_code error;
    const std::size_t size = socket_.write_some(unwritten(), error);
    progress_.endWrite(error ? 0 : size);
    if (error && error != asio::error::would_block) {
        onWriteFailed(error);
        return;
    }
    if (progress_.isComplete()) {
        endUploadIfDone();
        return;
    }
    if (uploading_) {
        armTimer(kUploadStallTimeout);
    }
    socket_.async_wait(ConnectionPool::Socket::wait_write,
                       bind([](HttpExchange &self, const asio::error_code &failure, std::size_t) {
                           if (!failure) {
                               self.writeSome();
                           }
                       }));
}

/** A response that came before the failure can still be read; if there is none, reading fails as well. */
void HttpExchange::onWriteFailed(const asio::error_code &error)
{
    // The system reports a reset once, so reading may meet an end of file in its place. A reset after the server had
    // ended its response is reported as a broken pipe.
    endIsKnown_ = error == asio::error::broken_pipe;
    if (uploading_) {
        close();
    }
}

std::size_t HttpExchange::messageBytes() const
{
    return head_.size() + body_.size();
}

/** The part of the message that has not been handed over yet. */
std::array<asio::const_buffer, 2> HttpExchange::unwritten() const
{
    const std::size_t ofHead = std::min(progress_.written(), head_.size());
    return {asio::buffer(head_) + ofHead, asio::buffer(body_.text()) + (progress_.written() - ofHead)};
}

void HttpExchange::read()
{
    socket_.async_wait(ConnectionPool::Socket::wait_read,
                       bind([](HttpExchange &self, const asio::error_code &error, std::size_t) {
                           if (error) {
                               self.fail();
                               return;
                           }
                           self.readSome();
                       }));
}

void HttpExchange::readSome()
{
    // Shared by all exchanges of the thread, so that waiting ones need no buffer of their own.
    static thread_local std::array<char, kReadBufferBytes> buffer;
    asio::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        read();
        return;
    }
    if (uploading_) {
        error ? onReadEnd() : discard(std::string_view(buffer.data(), size));
        return;
    }
    if (error) {
        onReadFailed(error);
        return;
    }
    hasReceivedBytes_ = true;
    if (options_.renewsTimeout) {
        armTimer(options_.responseTimeout);
    }
    feed(std::string_view(buffer.data(), size));
}

void HttpExchange::onReadFailed(const asio::error_code &error)
{
    if (!hasReceivedBytes_) {
        fail();
        return;
    }
    if (error == asio::error::eof && endIsKnown_) {
        parser_->finish();
        finishParsing();
        return;
    }
    reportBroken(ResponseFault::Reset);
    fail();
}

void HttpExchange::failBroken(ResponseFault fault)
{
    reportBroken(fault);
    finish(tl::unexpected(TransportError::MalformedResponse));
}

void HttpExchange::reportBroken(ResponseFault fault)
{
    if (options_.brokenResponse) {
        options_.brokenResponse(fault);
    }
}

void HttpExchange::feed(std::string_view bytes)
{
    if (parser_->feed(bytes) != ResponseParser::State::Incomplete) {
        finishParsing();
        return;
    }
    const std::size_t before = std::exchange(accountedBytes_, parser_->bodyBytes());
    if (!pool_->receiveBudget().grow(before, accountedBytes_)) {
        failBroken(ResponseFault::BodyTooLong);
        return;
    }
    read();
}

/** Whether the echoed field of the response names another request. */
bool HttpExchange::isForOtherRequest(const HttpResponse &response) const
{
    return !echoedValue_.empty() && response.headers.find(options_.echoedField).value_or(echoedValue_) != echoedValue_;
}

void HttpExchange::finishParsing()
{
    if (const std::optional<ResponseFault> fault = parser_->fault()) {
        failBroken(*fault);
        return;
    }
    const bool keepAlive = parser_->keepAlive();
    const Millis idle = parser_->idleTimeout().value_or(ConnectionPool::kMaximumIdleTime) * kIdleTimeoutFraction;
    const std::string trailing = parser_->extractTrailingBytes();
    HttpResponse response = parser_->extractResponse();
    if (isInterimStatus(response.status) || isForOtherRequest(response)) {
        receiveOther(response, trailing);
        return;
    }
    if (!isReceived() && response.status < kFirstFailureStatus) {
        uploading_ = true;
        ++pool_->unfinishedUploads;
        respond(std::move(response));
        finishUpload();
        return;
    }
    if (keepAlive && !options_.singleUse && isReceived()) {
        setUserTimeout(socket_);
        pool_->addIdle(address_, std::move(socket_), std::min(idle, ConnectionPool::kMaximumIdleTime));
    }
    finish(std::move(response));
}

void HttpExchange::receiveOther(const HttpResponse &response, std::string_view trailing)
{
    if (options_.otherResponse) {
        options_.otherResponse(response);
    }
    if (++droppedResponses_ > kMaximumDroppedResponses) {
        failBroken(ResponseFault::TooManyResponses);
        return;
    }
    parser_ = std::make_unique<ResponseParser>(options_.maximumBodyBytes, isHead_);
    trailing.empty() ? read() : feed(trailing);
}

/** Whether the peer's host has received the whole request, so that nothing of it is in front of the next one. */
bool HttpExchange::isReceived()
{
    if (!progress_.isComplete() || messageBytes() <= kSmallMessageBytes) {
        return progress_.isComplete();
    }
    int unacknowledged = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

/** Goes on writing the rest of the request after the response. */
void HttpExchange::finishUpload()
{
    armTimer(kUploadStallTimeout);
    read();
    if (progress_.isComplete()) {
        endUploadIfDone();
    }
}

void HttpExchange::discard(std::string_view bytes)
{
    discardedBytes_ += bytes.size();
    discardedBytes_ > kMaximumDiscardedBytes ? close() : read();
}

void HttpExchange::onReadEnd()
{
    readEnded_ = true;
    if (progress_.isComplete()) {
        close();
    }
}

/** After the last byte of the request, waits until the server closes: closing first could reset the connection before
 * the server has read the rest. */
void HttpExchange::endUploadIfDone()
{
    if (!uploading_) {
        return;
    }
    asio::error_code error;
    socket_.shutdown(ConnectionPool::Socket::shutdown_send, error);
    if (error || readEnded_) {
        close();
    }
}

void HttpExchange::armTimer(Millis timeout)
{
    timer_.expires_after(toChrono(timeout));
    timer_.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->closed_) {
            self->onTimeout();
        }
    });
}

void HttpExchange::onTimeout()
{
    finish(tl::unexpected(progress_.mayHaveBegun() ? TransportError::TimedOut : failure()));
}

/** Ends the call without a response; does nothing while the rest of the request follows a complete response. */
void HttpExchange::fail()
{
    if (!uploading_) {
        finish(tl::unexpected(failure()));
    }
}

TransportError HttpExchange::failure() const
{
    if (!connected_) {
        return TransportError::ConnectFailed;
    }
    return progress_.mayHaveBegun() ? TransportError::Lost : TransportError::NotBegun;
}

void HttpExchange::finish(HttpResult result)
{
    close();
    respond(std::move(result));
}

void HttpExchange::respond(HttpResult result)
{
    pool_->receiveBudget().release(std::exchange(accountedBytes_, 0));
    if (const HttpCallback callback = std::exchange(callback_, nullptr)) {
        callback(std::move(result));
    }
}

void HttpExchange::close()
{
    closed_ = true;
    if (std::exchange(uploading_, false)) {
        --pool_->unfinishedUploads;
    }
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
    std::string().swap(head_);
    body_ = {};
}

} // namespace Hibiscus
