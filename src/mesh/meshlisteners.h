#ifndef HIBISCUS_MESH_MESHLISTENERS_H
#define HIBISCUS_MESH_MESHLISTENERS_H

#include "core/ids.h"
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
    /** @p context must outlive the object. */
    explicit MeshListeners(asio::io_context &context);

    /** Opens a listener. Returns the reason, which is logged too, if it can't be opened. */
    tl::expected<void, std::string> open(const std::string &name, const HostAddress &address, HttpHandler &handler);

    /** Accepts no more connections on a listener, and closes its idle ones. */
    void close(const std::string &name);

private:
    asio::io_context &context_;
    std::map<std::string, std::unique_ptr<HttpServer>> servers_;
};

} // namespace Hibiscus

#endif
