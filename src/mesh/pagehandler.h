#ifndef HIBISCUS_MESH_PAGEHANDLER_H
#define HIBISCUS_MESH_PAGEHANDLER_H

#include "http/httphandler.h"

#include <functional>

namespace Hibiscus
{

/** Responds to GET requests with a generated page, and to all others with 404. */
class PageHandler : public HttpHandler
{
public:
    explicit PageHandler(std::function<HttpResponse()> page);

    void handle(HttpRequest request, HttpResponder respond) override;

private:
    std::function<HttpResponse()> page_;
};

} // namespace Hibiscus

#endif
