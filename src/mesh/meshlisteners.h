#ifndef HIBISCUS_MESH_MESHLISTENERS_H
#define HIBISCUS_MESH_MESHLISTENERS_H

#include "config/routeconfiguration.h"
#include "core/ids.h"
#include "http/clientbudget.h"
#include "http/httpserver.h"

#include <map>
#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** The listeners of one daemon by their names. */
class MeshListeners
{
public:
    /** @p context and @p budget, from which the connections of all listeners draw, must outlive the object. */
    MeshListeners(asio::io_context &context, ClientBudget &budget);

    /** Opens a listener. Returns the reason, which is logged too, if it can't be opened. */
    tl::expected<void, std::string> open(const std::string &name, const HostAddress &address, ClientShare share,
                                         HttpHandler &handler);

    /** Uses the limits of the operator's configuration from now on. */
    void setLimits(const CallerLimits &limits);

    /** Accepts no more connections on a listener, and closes its idle ones. */
    void close(const std::string &name);

    /** Connections of a listener, with those whose clients still read the last response. */
    std::size_t connectionCount(const std::string &name) const;

private:
    asio::io_context &context_;
    ClientBudget &budget_;
    std::map<std::string, std::unique_ptr<HttpServer>> servers_;
};

} // namespace Hibiscus

#endif
