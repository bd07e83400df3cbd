#ifndef HIBISCUS_MEMBERSHIP_DOMAINAGENT_H
#define HIBISCUS_MEMBERSHIP_DOMAINAGENT_H

#include "core/clock.h"
#include "core/randomsource.h"
#include "membership/effects.h"
#include "membership/freshnesslease.h"
#include "membership/membertable.h"
#include "membership/ruleadoption.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** What a process knows of itself from its settings. */
struct AgentSettings {
    ServerName name;
    FailureDomainName domain;
    ServiceName service;
    HostAddress peerAddress;
    Incarnation incarnation; ///< Drawn at the start of the process; not 0.
    std::vector<HostAddress> seeds; ///< Peers listeners of some daemons, of any domain.
};

/**
 * Control state machine of one daemon: membership, freshness lease, configuration and the role of domain agent. It
 * does no I/O: each call returns what the owner has to send, call, install or log.
 */
class DomainAgent
{
public:
    /** Longest time between two calls of tick() that the timing of rounds allows for. */
    static constexpr Millis kTickInterval{100};

    DomainAgent(AgentSettings settings, const Clock &clock, RandomSource &random);
    ~DomainAgent();
    DomainAgent(const DomainAgent &) = delete;
    DomainAgent &operator=(const DomainAgent &) = delete;

    /** To be called every kTickInterval. */
    Effects tick();

    /** Handles a request of a peer and gives the response to be returned to it. */
    std::pair<ControlResponse, Effects> handle(const ControlRequest &request);

    /** Response to an outgoing request. Unknown or expired ids and responses of another type are ignored. */
    Effects responded(RequestId id, const ControlResponse &response);

    /** The outgoing request got no response. */
    Effects failed(RequestId id);

    /** Result of a platform call. Unknown ids are ignored. */
    Effects platformCompleted(PlatformCallId id, const PlatformResult &result);

    /**
     * The text of @p version was parsed and is in force in this process. Texts must be installed in the order in which
     * they were given out; a text that is older than the one in force must not be installed.
     */
    Effects configurationInstalled(ConfigVersion version, const Rosters &rosters);

    /** The text of @p version can't be used; the process stays at its version and loses its lease. */
    Effects configurationRefused(ConfigVersion version);

    /** State of this process that peers have to know. A change of @p draining is announced at once. */
    Effects setLocalState(bool draining, int headroom);

    /** Distributes @p entry to all processes. */
    Effects publish(const PayloadEntry &entry);

    /** Whether this process may serve now; to be asked at each dispatch. */
    bool fresh() const;
    Millis leaseRemaining() const;
    ConfigVersion adopted() const;

    bool isAgent() const;
    /** Agent of this domain that polled last; empty when unknown. */
    ServerName knownAgent() const;
    /** Another process runs under this name; this one serves no more and should exit. */
    bool superseded() const;
    /** Highest version that this domain is known to have confirmed. */
    ConfigVersion confirmed() const;
    const MemberTable &members() const;

    /** Platform object that records what @p domain confirmed. */
    static std::string confirmKey(const FailureDomainName &domain);
    /** Version in the value of a confirm object; none (0) when it can't be read. */
    static ConfigVersion confirmedVersion(const std::string &value);
    /** Platform object of the agent role of @p domain. */
    static std::string agentKey(const FailureDomainName &domain);
    /** Platform object of the configuration. */
    static std::string configurationKey();

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace Hibiscus

#endif
