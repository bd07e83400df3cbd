#ifndef HIBISCUS_RPC_CONTROLSERVICE_H
#define HIBISCUS_RPC_CONTROLSERVICE_H

#include "membership/controlmessages.h"

#include <string>

namespace Hibiscus
{

/** What a daemon does for its peers. Called by several workers at a time; an exception becomes an error response. */
class ControlService
{
public:
    virtual ~ControlService() = default;

    virtual PollResponse poll(const Poll &request) = 0;
    virtual AnnounceResponse announce(const Announce &request) = 0;
    virtual ViewDifference view(const ViewRequest &request) = 0;
    virtual LeaseResponse lease(const LeaseRequest &request) = 0;
    virtual ConfigurationText configuration(const ConfigurationRequest &request) = 0;
};

} // namespace Hibiscus

#endif
