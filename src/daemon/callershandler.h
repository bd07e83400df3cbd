#ifndef HIBISCUS_DAEMON_CALLERSHANDLER_H
#define HIBISCUS_DAEMON_CALLERSHANDLER_H

#include "daemon/callhandler.h"
#include "http/httphandler.h"

#include <functional>
#include <string>

namespace Hibiscus
{

/** Callers listener: root calls, identities, and the operators' pages. */
class CallersHandler : public HttpHandler
{
public:
    struct Functions {
        std::function<std::string()> statusPage; ///< JSON text of the status.
        std::function<void()> drain;
    };

    CallersHandler(CallServices &services, CallHandler &calls, Functions functions);

    void handle(HttpRequest request, HttpResponder respond) override;

private:
    HttpResponse handlePage(const HttpRequest &request);

    CallServices &services_;
    CallHandler &calls_;
    Functions functions_;
};

} // namespace Hibiscus

#endif
