#ifndef HIBISCUS_HTTP_SERVERCONNECTION_H
#define HIBISCUS_HTTP_SERVERCONNECTION_H

#include "core/clock.h"
#include "http/connectionaccount.h"
#include "http/httphandler.h"
#include "http/outputqueue.h"
#include "http/pendingrequest.h"
#include "http/requestparser.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>

namespace Hibiscus
{

/** Settings shared by all connections of an HttpServer. */
struct ServerConnectionSettings {
    RequestLimits limits;
    Millis idleTimeout;
    Millis headerTimeout;
    Millis requestTimeout;
    ClientBudget *budget = nullptr; ///< Optional.
    ClientShare share = ClientShare::Callers;
};

/**
 * One connection of an HttpServer: reads pipelined requests and writes their responses in the same order. All steps run
 * on the strand of the connection.
 */
class ServerConnection : public BudgetedClient, public std::enable_shared_from_this<ServerConnection>
{
public:
    using Socket = asio::basic_stream_socket<asio::ip::tcp, asio::strand<asio::io_context::executor_type>>;
    using ClosedCallback = std::function<void(std::uint64_t id)>;

    ServerConnection(Socket socket, std::uint64_t id, const ServerConnectionSettings &settings, HttpHandler &handler,
                     const Clock &clock, ClosedCallback onClosed);

    void start();

    /** Closes the connection if no request is in progress. Otherwise no further one is accepted, and the last response
     * closes it. */
    void closeWhenIdle();

    /** Closes the connection if it has exceeded a timeout. The server calls this periodically. */
    void checkTimeouts();

    /** Closes the socket without notifying the handler and the server, which are about to be destroyed. */
    void detach();

    void cutOff(ClientEnd end) override;

private:
    template<class Step>
    void post(Step step);
    bool hasInput() const;
    std::optional<ClientEnd> exceededTimeout(TimePoint now) const;
    void waitForInput();
    void readInput();
    void parseInput();
    bool dispatchRequest();
    void acceptNoMoreRequests();
    void setResponse(const std::shared_ptr<PendingRequest> &pending, HttpResponse response);
    void reject(int status);
    void writeReadyResponses();
    void write();
    void writeSome();
    void onWriteFinished();
    void lingerThenClose();
    void resume();
    bool isPaused() const;
    void updateAccount();
    ClientState state() const;
    void close(ClientEnd end = ClientEnd::Closed);

    Socket socket_;
    std::uint64_t id_;
    const ServerConnectionSettings &settings_;
    HttpHandler *handler_;
    const Clock &clock_;
    ClosedCallback onClosed_;
    RequestParser parser_;
    std::string input_; ///< Bytes that were read and not parsed yet.
    std::deque<std::shared_ptr<PendingRequest>> pendingRequests_; ///< In the order of their arrival.
    OutputQueue output_;
    ConnectionAccount account_;
    TimePoint lastActivity_;
    TimePoint messageStarted_;
    TimePoint lingerStarted_;
    bool reading_ = false;
    bool parsing_ = false;
    bool paused_ = false; ///< Neither read nor parsed until the client has read.
    bool continueSent_ = false;
    bool closeRequested_ = false; ///< No request is accepted after the one that is being received.
    bool closing_ = false; ///< Input is discarded; the connection closes after the responses to pendingRequests_.
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace Hibiscus

#endif
