#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDSERVER_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDSERVER_H

#include "backend_standin/backendcore.h"
#include "backend_standin/backendrun.h"
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
 * Stand-in for a backend server: runs requests on its slots and reports on itself.
 *
 * The io_context must be run by a single thread, and all members but the constructor and open() belong to it.
 */
class BackendServer : public HttpHandler
{
public:
    /** @p crash is called when a request with "/crash" in its path is run; it must end the process. */
    BackendServer(asio::io_context &context, BackendSettings settings, std::function<void()> crash);
    ~BackendServer() override;

    tl::expected<HostAddress, std::string> open();
    /** Refuses new requests and calls @p drained when none is running any more. */
    void drain(std::function<void()> drained);

    void handle(HttpRequest request, HttpResponder respond) override;
    void connectionClosed(std::uint64_t connection) override;

    /** Applies a JSON object as sent to POST /faults. Returns the error text, empty if it was applied. */
    std::string applyFaults(std::string_view text);
    /** JSON text of GET /executions. */
    std::string executions() const;

private:
    /** Answers the paths of the server itself; false if the request is none of them. */
    bool handleControl(const HttpRequest &request, const HttpResponder &respond);
    void run(HttpRequest request, HttpResponder respond);
    void ended(std::uint64_t connection, std::uint64_t id);
    /** Draws at the first request of a connection whether it is silent. */
    bool isSilent(std::uint64_t connection);
    void silenceOpenConnections(double share);
    bool draw(double share);
    HttpResponse health() const;
    HttpResponse load() const;
    LoadSample sample() const;
    void recordSamples();

    BackendCore core_;
    HttpServer server_;
    asio::steady_timer sampleTimer_;
    LoadReport report_;
    std::string startId_;
    std::uint64_t lastRun_ = 0;
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, std::shared_ptr<BackendRun>>> runs_;
    std::unordered_map<std::uint64_t, bool> silent_; ///< By open connection.
    std::function<void()> drained_;
};

} // namespace Hibiscus

#endif
