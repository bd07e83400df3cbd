#ifndef HIBISCUS_DAEMON_CONTEXTBACKENDPROTOCOL_H
#define HIBISCUS_DAEMON_CONTEXTBACKENDPROTOCOL_H

#include "daemon/backendprotocol.h"

namespace Hibiscus
{

/** hibiscusdale's own interface to backend servers (docs/interface.md). */
class ContextBackendProtocol : public BackendProtocol
{
public:
    HttpRequest encode(const CallMessage &message, Millis remaining) const override;
    std::string echoedField() const override;
    Result<HttpResponse> decode(const CallMessage &message, HttpResponse response) const override;
    ServerNotice readNotice(const HttpResponse &response) const override;
};

} // namespace Hibiscus

#endif
