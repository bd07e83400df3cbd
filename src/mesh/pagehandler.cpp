#include "mesh/pagehandler.h"

#include <utility>

namespace Hibiscus
{

namespace
{

constexpr int kStatusNotFound = 404;

} // namespace

PageHandler::PageHandler(std::function<HttpResponse()> page)
    : page_(std::move(page))
{
}

void PageHandler::handle(HttpRequest request, HttpResponder respond)
{
    respond(request.method == "GET" ? page_() : HttpResponse{kStatusNotFound, {}, ""});
}

} // namespace Hibiscus
