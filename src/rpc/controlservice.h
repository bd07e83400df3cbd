#ifndef HIBISCUS_RPC_CONTROLSERVICE_H
#define HIBISCUS_RPC_CONTROLSERVICE_H

#include "membership/controlmessages.h"

namespace Hibiscus
{

/** Receives the control messages of a ControlServer. */
class ControlService
{
public:
    virtual ~ControlService() = default;

    /** Handles a request; the response must have the alternative that belongs to it. */
    virtual ControlResponse handle(const ControlRequest &request) = 0;
};

} // namespace Hibiscus

#endif
