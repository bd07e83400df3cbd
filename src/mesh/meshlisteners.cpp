#include "mesh/meshlisteners.h"

#include "core/logevent.h"
#include "mesh/clientguard.h"

namespace Hibiscus
{

MeshListeners::MeshListeners(asio::io_context &context, ClientBudget &budget)
    : context_(context)
    , budget_(budget)
{
}

tl::expected<void, std::string> MeshListeners::open(const std::string &name, const HostAddress &address,
                                                    ClientShare share, HttpHandler &handler)
{
    HttpServerSettings settings;
    settings.address = address;
    settings.budget = &budget_;
    settings.share = share;
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

void MeshListeners::setLimits(const CallerLimits &limits)
{
    for (const auto &[name, server] : servers_) {
        server->setLimits(listenerLimits(limits, server->share()));
    }
}

void MeshListeners::close(const std::string &name)
{
    const auto found = servers_.find(name);
    if (found != servers_.end()) {
        found->second->close();
        found->second->closeIdleConnections();
    }
}

std::size_t MeshListeners::connectionCount(const std::string &name) const
{
    const auto found = servers_.find(name);
    return found == servers_.end() ? 0 : found->second->connectionCount();
}

} // namespace Hibiscus
