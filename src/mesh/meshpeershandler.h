#ifndef HIBISCUS_MESH_MESHPEERSHANDLER_H
#define HIBISCUS_MESH_MESHPEERSHANDLER_H

#include "http/httphandler.h"

namespace Hibiscus
{

/** Handles requests of other daemons: reports on allotments, and all others. */
class MeshPeersHandler : public HttpHandler
{
public:
    /** @p allotments gets the requests to AllotmentService::kTarget, @p others the rest. Both must outlive the object.
     */
    MeshPeersHandler(HttpHandler &allotments, HttpHandler &others);

    void handle(HttpRequest request, HttpResponder respond) override;
    void connectionClosed(std::uint64_t connection) override;

private:
    HttpHandler &allotments_;
    HttpHandler &others_;
};

} // namespace Hibiscus

#endif
