#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDSERVER_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDSERVER_H

#include "backend_standin/backendcore.h"
#include "backend_standin/backendrequest.h"
#include "backend_standin/loadreport.h"
#include "http/httpserver.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace Hibiscus
{

/**
 * Stand-in for a backend server: executes requests in its slots and reports its health, load and executions.
 *
 * The io_context must be run by a single thread, and all members but the constructor and open() belong to it.
 */
class BackendServer : public HttpHandler
{
public:
    /** @p crash is called when a request with "/crash" in its path gets a slot; it must end the process. */
    BackendServer(asio::io_context &context, BackendSettings settings, std::function<void()> crash);
    ~BackendServer() override;

    /** Starts to listen. Returns the bound address or the error text. */
    tl::expected<HostAddress, std::string> open();
    /** Refuses new requests and calls @p drained once no request is in progress. */
    void drain(std::function<void()> drained);

    void handle(HttpRequest request, HttpResponder respond) override;
    void connectionClosed(std::uint64_t connection) override;

    /** Applies the JSON object of a POST /faults body. Returns the error text; empty on success. */
    std::string applyFaults(std::string_view text);
    /** JSON text of GET /executions. */
    std::string executions() const;

private:
    /** Answers the requests for health, load, executions and faults; false for any other request. */
    bool handleControl(const HttpRequest &request, const HttpResponder &respond);
    void startRequest(HttpRequest request, HttpResponder respond);
    void removeRequest(std::uint64_t connection, std::uint64_t id);
    /** Whether a connection is silent; drawn at the first request of the connection. */
    bool isSilent(std::uint64_t connection);
    /** Makes open connections silent, each with the probability @p share. */
    void silenceOpenConnections(double share);
    /** True with the given probability. */
    bool drawBool(double probability);
    HttpResponse health() const;
    HttpResponse load() const;
    LoadSample sample() const;
    void recordSample();

    BackendCore core_;
    HttpServer server_;
    asio::steady_timer sampleTimer_;
    LoadReport report_;
    std::string startId_;
    std::uint64_t lastRequestId_ = 0;
    /** Requests in progress by id, by connection. */
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, std::shared_ptr<BackendRequest>>> requests_;
    std::unordered_map<std::uint64_t, bool> silentConnections_; ///< Whether silent, by open connection.
    std::function<void()> drained_;
};

} // namespace Hibiscus

#endif
