#include "mesh/meshlisteners.h"

#include "core/logevent.h"

namespace Hibiscus
{

MeshListeners::MeshListeners(asio::io_context &context)
    : context_(context)
{
}

tl::expected<void, std::string> MeshListeners::open(const std::string &name, const HostAddress &address,
                                                    HttpHandler &handler)
{
    HttpServerSettings settings;
    settings.address = address;
    auto server = std::make_unique<HttpServer>(context_, settings, handler);
    const auto opened = server->open();
    servers_[name] = std::move(server);
    if (!opened) {
        const std::string reason = name + " listener: " + opened.error();
        logEvent(LogEvent::ListenerFailed, reason);
        return tl::unexpected(reason);
    }
    return {};
}

void MeshListeners::close(const std::string &name)
{
    const auto found = servers_.find(name);
    if (found != servers_.end()) {
        found->second->close();
        found->second->closeIdleConnections();
    }
}

} // namespace Hibiscus
