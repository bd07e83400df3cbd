#ifndef HIBISCUS_HTTP_HTTPEXCHANGE_H
#define HIBISCUS_HTTP_HTTPEXCHANGE_H

#include "http/connectionpool.h"
#include "http/httpclient.h"
#include "http/responseparser.h"
#include "http/sendprogress.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace Hibiscus
{

/**
 * One request and its response on one connection.
 *
 * The request is written while the response is read, since a server may respond before it has read the whole body. It
 * then gets the rest of the body all the same, and nothing but that: the connection carries no further request.
 *
 * All steps run on the strand of the exchange.
 */
class HttpExchange : public HttpCall, public std::enable_shared_from_this<HttpExchange>
{
public:
    HttpExchange(std::shared_ptr<ConnectionPool> pool, HostAddress address, const HttpRequest &request,
                 const HttpCallOptions &options, HttpCallback callback);
    ~HttpExchange() override;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    void start();
    void cancel() override;
    bool withdraw() override;

private:
    void post(void (HttpExchange::*step)());
    void connect();
    void write();
    void writeSome();
    void onWriteFailed(const asio::error_code &error);
    void read();
    void readSome();
    void feed(std::string_view bytes);
    void finishParsing();
    void onReadFailed(const asio::error_code &error);
    void failBroken(ResponseFault fault);
    void reportBroken(ResponseFault fault);
    void receiveOther(const HttpResponse &response, std::string_view trailing);
    bool isForOtherRequest(const HttpResponse &response) const;
    bool isReceived();
    std::size_t messageBytes() const;
    std::array<asio::const_buffer, 2> unwritten() const;
    void finishUpload();
    void discard(std::string_view bytes);
    void onReadEnd();
    void endUploadIfDone();
    void armTimer(Millis timeout);
    void onTimeout();
    void fail();
    TransportError failure() const;
    void finish(HttpResult result);
    void respond(HttpResult result);
    void close();

    template<class Step>
    auto bind(Step step)
    {
        return asio::bind_executor(strand_,
                                   [self = shared_from_this(), step](const asio::error_code &error, auto... size) {
                                       if (!self->closed_) {
                                           step(*self, error, (std::size_t(0) + ... + size));
                                       }
                                   });
    }

    std::shared_ptr<ConnectionPool> pool_;
    HostAddress address_;
    HttpCallOptions options_;
    HttpCallback callback_; ///< Empty once it was called.
    asio::strand<asio::io_context::executor_type> strand_;
    ConnectionPool::Socket socket_;
    asio::steady_timer timer_;
    std::string head_;
    HttpBody body_;
    SendProgress progress_;
    bool isHead_;
    std::unique_ptr<ResponseParser> parser_;
    std::string echoedValue_; ///< Value of HttpCallOptions::echoedField in the request.
    std::size_t accountedBytes_ = 0; ///< Of the unfinished body in the receive budget.
    std::size_t discardedBytes_ = 0; ///< Received after the response.
    int droppedResponses_ = 0; ///< Responses to earlier requests.
    bool connected_ = false;
    bool hasReceivedBytes_ = false;
    bool endIsKnown_ = true; ///< An end of file is that of the server, not what is left of a reset.
    bool uploading_ = false; ///< The response is complete, and the rest of the request is still being written.
    bool readEnded_ = false; ///< While uploading: the server sends nothing more.
    bool closed_ = false;
};

} // namespace Hibiscus

#endif
