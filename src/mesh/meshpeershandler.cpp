#include "mesh/meshpeershandler.h"

#include "mesh/allotmentservice.h"

namespace Hibiscus
{

MeshPeersHandler::MeshPeersHandler(HttpHandler &allotments, HttpHandler &others)
    : allotments_(allotments)
    , others_(others)
{
}

void MeshPeersHandler::handle(HttpRequest request, HttpResponder respond)
{
    HttpHandler &handler = request.target == AllotmentService::kTarget ? allotments_ : others_;
    handler.handle(std::move(request), std::move(respond));
}

void MeshPeersHandler::connectionClosed(std::uint64_t connection)
{
    allotments_.connectionClosed(connection);
    others_.connectionClosed(connection);
}

} // namespace Hibiscus
