#ifndef HIBISCUS_DAEMON_CALLERSHANDLER_H
#define HIBISCUS_DAEMON_CALLERSHANDLER_H

#include "daemon/callhandler.h"
#include "http/httphandler.h"

#include <functional>
#include <string>

namespace Hibiscus
{

/** Handles requests on the callers listener: root calls, identities and the pages for operators. */
class CallersHandler : public HttpHandler
{
public:
    struct Callbacks {
        std::function<std::string()> statusPage; ///< JSON text of the status.
        std::function<void()> drain;
    };

    CallersHandler(CallServices &services, CallHandler &calls, Callbacks callbacks);

    void handle(HttpRequest request, HttpResponder respond) override;

private:
    HttpResponse handlePage(const HttpRequest &request);

    CallServices &services_;
    CallHandler &calls_;
    Callbacks callbacks_;
};

} // namespace Hibiscus

#endif
