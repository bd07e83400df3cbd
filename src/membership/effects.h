#ifndef HIBISCUS_MEMBERSHIP_EFFECTS_H
#define HIBISCUS_MEMBERSHIP_EFFECTS_H

#include "core/ids.h"
#include "core/logevent.h"
#include "core/strongid.h"
#include "membership/controlmessages.h"

#include <map>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Number of an outgoing request, unique in one DomainAgent. */
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
/** Number of a platform call, unique in one DomainAgent. */
using PlatformCallId = StrongId<struct PlatformCallIdTag, std::uint64_t>;

/** Roster of each failure domain in one configuration. */
using Rosters = std::map<FailureDomainName, std::vector<ServerName>>;

/** Request to be sent now; its response goes to DomainAgent::responded(), its loss to DomainAgent::failed(). */
struct OutgoingRequest {
    RequestId id;
    HostAddress to;
    ControlRequest request;
};

/** Call to be made now; its result goes to DomainAgent::platformCompleted(). */
struct PlatformCall {
    enum class Kind {
        Get,
        Create,
        Update,
        Watch,
    };

    PlatformCallId id;
    Kind kind = Kind::Get;
    std::string key;
    std::string value; ///< Create and Update.
    std::uint64_t version = 0; ///< Update: expected version; Watch: returns once the version is above this one.
    Millis timeout; ///< Watch: longest wait.
};

struct PlatformResult {
    enum class Status {
        Ok,
        Unchanged, ///< A watch ended without a change.
        NotFound,
        Conflict,
        Unavailable, ///< Nothing was written.
        Ambiguous, ///< May have been written.
    };

    Status status = Status::Unavailable;
    std::string value; ///< Get and Watch.
    std::uint64_t version = 0; ///< Version of the object after the call.
};

/** Text to be parsed and put in force; answered by configurationInstalled() or configurationRefused(). */
struct InstallConfiguration {
    ConfigVersion version;
    std::string text;
};

struct AgentEvent {
    LogEvent event;
    std::string detail;
};

/** What the owner of a DomainAgent has to do after a call to it, in this order. */
struct Effects {
    std::vector<InstallConfiguration> install;
    std::vector<OutgoingRequest> requests;
    std::vector<PlatformCall> platformCalls;
    std::vector<PayloadEntry> receivedEntries; ///< Entries that are new to this process.
    std::vector<AgentEvent> events;
    bool membersChanged = false; ///< The records of the member table changed.
};

} // namespace Hibiscus

#endif
