#include "http/httpclient.h"

#include "core/chronotime.h"
#include "core/steadyclock.h"
#include "http/endpoint.h"
#include "http/receivebudget.h"
#include "http/responseparser.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

namespace Hibiscus
{

namespace
{

constexpr std::size_t kReadBufferBytes = 65536;
/** Longest idle time of a connection that is reused, well below the time after which a server closes it. Also used as
 * the idle timeout of a server that states none. */
constexpr Millis kMaximumIdleTime{8000};
/** Fraction of the idle timeout stated by the server after which a connection is not reused. */
constexpr double kIdleTimeoutFraction = 0.8;
/** Bytes that stay unacknowledged for this time end the connection, so that a host without power is noticed. */
constexpr int kTcpUserTimeoutMillis = 3000;
constexpr std::size_t kMaximumIdleConnections = 256;
/** Late responses to earlier requests that are dropped before the connection is given up. */
constexpr int kMaximumDroppedResponses = 8;

std::string serializeRequest(const HostAddress &address, const HttpRequest &request)
{
    std::string text;
    text.reserve(512 + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    text.append(request.host.empty() ? address.value() : request.host).append("\r\n");
    for (const HttpHeaders::Field &field : request.headers.fields()) {
        if (!isHopByHopHeader(field.first)) {
            text.append(field.first).append(": ").append(field.second).append("\r\n");
        }
    }
    text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n\r\n");
    text.append(request.body);
    return text;
}

/** Open connection without a request in progress. */
struct IdleConnection {
    asio::ip::tcp::socket socket;
    TimePoint expiry;
};

/** Whether an idle connection is still open and has received no unexpected bytes. */
bool hasNoInput(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    asio::error_code ignored; // A connection without these options still works.
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMillis,
                 sizeof(kTcpUserTimeoutMillis));
}

} // namespace

class HttpClient::Private : public std::enable_shared_from_this<HttpClient::Private>
{
public:
    explicit Private(asio::io_context &ioContext)
        : context(ioContext)
    {
    }

    /** Removes and returns the most recently used idle connection to @p address that is still usable. */
    std::optional<asio::ip::tcp::socket> popIdle(const HostAddress &address)
    {
        const std::lock_guard lock(mutex);
        const auto found = idle.find(address);
        if (found == idle.end() || found->second.empty()) {
            return std::nullopt;
        }
        std::vector<IdleConnection> &connections = found->second;
        while (!connections.empty()) {
            IdleConnection connection = std::move(connections.back());
            connections.pop_back();
            if (clock.now() < connection.expiry && hasNoInput(connection.socket)) {
                return std::move(connection.socket);
            }
        }
        return std::nullopt;
    }

    void addIdle(const HostAddress &address, asio::ip::tcp::socket socket, Millis lifetime)
    {
        const std::lock_guard lock(mutex);
        std::vector<IdleConnection> &connections = idle[address];
        const TimePoint now = clock.now();
        std::erase_if(connections, [now](const IdleConnection &candidate) { return now >= candidate.expiry; });
        if (connections.size() < kMaximumIdleConnections) {
            connections.push_back({std::move(socket), now + lifetime});
        }
    }

    asio::io_context &context;
    SteadyClock clock;
    ReceiveBudget receiveBudget;
    mutable std::mutex mutex;
    std::unordered_map<HostAddress, std::vector<IdleConnection>> idle;
};

namespace
{

/** One request and its response on one connection. All steps run on the strand of the exchange. */
template<class Pool>
class Exchange : public HttpCall, public std::enable_shared_from_this<Exchange<Pool>>
{
public:
    Exchange(std::shared_ptr<Pool> pool, HostAddress address, const HttpRequest &request,
             const HttpCallOptions &options, HttpCallback callback)
        : pool_(std::move(pool))
        , address_(std::move(address))
        , options_(options)
        , callback_(std::move(callback))
        , strand_(asio::make_strand(pool_->context))
        , socket_(strand_)
        , timer_(strand_)
        , message_(serializeRequest(address_, request))
        , parser_(std::make_unique<ResponseParser>(options.maximumBodyBytes))
    {
        if (!options_.echoedField.empty()) {
            echoedValue_ = request.headers.find(options_.echoedField).value_or("");
        }
    }

    ~Exchange() override
    {
        pool_->receiveBudget.release(accountedBytes_);
    }

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start()
    {
        if (!options_.freshConnection) {
            if (std::optional<asio::ip::tcp::socket> idle = pool_->popIdle(address_)) {
                socket_ = std::move(*idle);
                post(&Exchange::write);
                return;
            }
        }
        post(&Exchange::connect);
    }

    void cancel() override
    {
        post(&Exchange::fail);
    }

    bool isWritten() const override
    {
        return written_;
    }

private:
    void post(void (Exchange::*step)())
    {
        asio::post(strand_, [self = this->shared_from_this(), step] { ((*self).*step)(); });
    }

    void connect()
    {
        const std::optional<asio::ip::tcp::endpoint> endpoint = parseEndpoint(address_);
        if (!endpoint) {
            finish(tl::unexpected(TransportError::ConnectFailed));
            return;
        }
        armTimer(options_.connectTimeout);
        socket_.async_connect(*endpoint, bind([](Exchange &self, const asio::error_code &error, std::size_t) {
            if (error) {
                self.finish(tl::unexpected(TransportError::ConnectFailed));
                return;
            }
            setSocketOptions(self.socket_);
            self.write();
        }));
    }

    void write()
    {
        armTimer(options_.responseTimeout);
        failure_ = TransportError::NotWritten;
        asio::async_write(socket_, asio::buffer(message_),
                          bind([](Exchange &self, const asio::error_code &error, std::size_t written) {
                              if (written == self.message_.size()) {
                                  // From now on the server may have received the whole message.
                                  self.failure_ = TransportError::LostAfterWrite;
                                  self.written_ = true;
                              }
                              if (error) {
                                  self.fail();
                                  return;
                              }
                              self.read();
                          }));
    }

    void read()
    {
        socket_.async_wait(asio::ip::tcp::socket::wait_read,
                           bind([](Exchange &self, const asio::error_code &error, std::size_t) {
                               if (error) {
                                   self.fail();
                                   return;
                               }
                               self.readSome();
                           }));
    }

    void readSome()
    {
        // Shared by all exchanges of the thread, so that waiting ones need no buffer of their own.
        static thread_local std::array<char, kReadBufferBytes> buffer;
        asio::error_code error;
        const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            read();
            return;
        }
        if (error == asio::error::eof && hasReceivedBytes_) {
            finishParsing(parser_->finish());
            return;
        }
        if (error) {
            fail();
            return;
        }
        hasReceivedBytes_ = true;
        feed(std::string_view(buffer.data(), size));
    }

    void feed(std::string_view bytes)
    {
        const ResponseParser::State state = parser_->feed(bytes);
        if (state == ResponseParser::State::Incomplete) {
            const std::size_t before = std::exchange(accountedBytes_, parser_->bodyBytes());
            if (!pool_->receiveBudget.grow(before, accountedBytes_)) {
                finish(tl::unexpected(TransportError::MalformedResponse));
                return;
            }
            read();
            return;
        }
        finishParsing(state);
    }

    /** Whether another response to the same request follows (RFC 9110, section 15.2). */
    static bool isInterim(const HttpResponse &response)
    {
        constexpr int kStatusContinue = 100;
        constexpr int kStatusOk = 200;
        return response.status >= kStatusContinue && response.status < kStatusOk;
    }

    /** Whether the echoed field of the response names another request. */
    bool isForOtherRequest(const HttpResponse &response) const
    {
        return !echoedValue_.empty()
            && response.headers.find(options_.echoedField).value_or(echoedValue_) != echoedValue_;
    }

    void finishParsing(ResponseParser::State state)
    {
        if (state != ResponseParser::State::Complete) {
            finish(tl::unexpected(TransportError::MalformedResponse));
            return;
        }
        const bool keepAlive = parser_->keepAlive();
        const Millis idle = parser_->idleTimeout().value_or(kMaximumIdleTime) * kIdleTimeoutFraction;
        const std::string trailing = parser_->extractTrailingBytes();
        HttpResponse response = parser_->extractResponse();
        if (isInterim(response) || isForOtherRequest(response)) {
            if (options_.otherResponse) {
                options_.otherResponse(response);
            }
            if (++droppedResponses_ > kMaximumDroppedResponses) {
                finish(tl::unexpected(TransportError::MalformedResponse));
                return;
            }
            parser_ = std::make_unique<ResponseParser>(options_.maximumBodyBytes);
            trailing.empty() ? read() : feed(trailing);
            return;
        }
        if (keepAlive && !done_) {
            timer_.cancel();
            pool_->addIdle(address_, std::move(socket_), std::min(idle, kMaximumIdleTime));
        }
        finish(std::move(response));
    }

    void fail()
    {
        finish(tl::unexpected(failure_));
    }

    void armTimer(Millis timeout)
    {
        timer_.expires_after(toChrono(timeout));
        timer_.async_wait([weak = this->weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (error || !self) {
                return;
            }
            const bool written = self->failure_ == TransportError::LostAfterWrite;
            self->finish(tl::unexpected(written ? TransportError::TimedOut : self->failure_));
        });
    }

    void finish(HttpResult result)
    {
        if (done_) {
            return;
        }
        done_ = true;
        timer_.cancel();
        pool_->receiveBudget.release(std::exchange(accountedBytes_, 0));
        asio::error_code ignored;
        socket_.close(ignored);
        HttpCallback callback = std::move(callback_);
        callback_ = nullptr;
        callback(std::move(result));
    }

    template<class Step>
    auto bind(Step step)
    {
        return asio::bind_executor(
            strand_, [self = this->shared_from_this(), step](const asio::error_code &error, auto... size) {
                if (!self->done_) {
                    step(*self, error, (std::size_t(0) + ... + size));
                }
            });
    }

    std::shared_ptr<Pool> pool_;
    HostAddress address_;
    HttpCallOptions options_;
    HttpCallback callback_;
    asio::strand<asio::io_context::executor_type> strand_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string message_;
    std::unique_ptr<ResponseParser> parser_;
    std::string echoedValue_; ///< Value of HttpCallOptions::echoedField in the request.
    TransportError failure_ = TransportError::ConnectFailed;
    std::atomic<bool> written_{false};
    std::size_t accountedBytes_ = 0; ///< Of the unfinished body in the receive budget.
    int droppedResponses_ = 0; ///< Responses to earlier requests.
    bool hasReceivedBytes_ = false;
    bool done_ = false;
};

} // namespace

HttpClient::HttpClient(asio::io_context &context)
    : d_(std::make_shared<Private>(context))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::send(const HostAddress &address, HttpRequest request,
                                           const HttpCallOptions &options, HttpCallback callback)
{
    auto exchange = std::make_shared<Exchange<Private>>(d_, address, request, options, std::move(callback));
    exchange->start();
    return exchange;
}

void HttpClient::closeIdle(const HostAddress &address)
{
    const std::lock_guard lock(d_->mutex);
    d_->idle.erase(address);
}

std::size_t HttpClient::receivedBytes() const
{
    return d_->receiveBudget.used();
}

std::size_t HttpClient::idleConnections() const
{
    const std::lock_guard lock(d_->mutex);
    std::size_t count = 0;
    for (const auto &entry : d_->idle) {
        count += entry.second.size();
    }
    return count;
}

} // namespace Hibiscus
