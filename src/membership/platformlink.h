#ifndef HIBISCUS_MEMBERSHIP_PLATFORMLINK_H
#define HIBISCUS_MEMBERSHIP_PLATFORMLINK_H

#include "membership/effects.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Version confirmed by a domain, with the roster it has in that version. */
struct Confirmation {
    ConfigVersion version;
    std::vector<ServerName> roster;
};

/** Text of a confirm object: the version, then one server name a line. */
std::string formatConfirmation(const Confirmation &confirmation);
/** Empty if @p value is malformed. */
std::optional<Confirmation> parseConfirmation(const std::string &value);

/** Process that holds the agent role of a domain, as recorded in the platform. */
struct RoleHolder {
    FailureDomainName domain;
    ServerName name;
    Incarnation incarnation;
    HostAddress address;
};

/** Text of an agent object. */
std::string formatRoleHolder(const RoleHolder &holder);
/** Empty if @p value is malformed. */
std::optional<RoleHolder> parseRoleHolder(const FailureDomainName &domain, const std::string &value);

/**
 * Platform calls of an agent: reads and watches the configuration, holds the agent role, and records confirmations.
 * At most one call of each purpose is outstanding; after a failure calls are repeated with exponential backoff.
 */
class PlatformLink
{
public:
    /** What the agent needs from the platform at a tick. */
    struct Needs {
        ConfigVersion known; ///< Highest configuration version that this process has.
        TimePoint leaseExpiry;
        bool mayClaim = false; ///< A majority of the roster answers this agent, so it may take the role from another.
        std::optional<Confirmation> confirm;
        std::optional<FailureDomainName> lost; ///< Domain of which no process is reachable at the known addresses.
    };

    /** What a result brought. */
    struct News {
        std::optional<InstallConfiguration> configuration;
        std::optional<TimePoint> readSentAt; ///< Set when the configuration came from a read, which grants a lease.
        std::optional<Confirmation> confirmed; ///< State of the domain's confirm object.
        bool wroteConfirmation = false;
        std::optional<RoleHolder> holder; ///< Agent of this or another domain, other than this process.
        std::optional<bool> available; ///< Set when the platform became available or unavailable.
    };

    explicit PlatformLink(RoleHolder self);

    /** The process became agent. */
    void start();
    /** The process stands down; results of outstanding calls are still used. */
    void stop();

    std::vector<PlatformCall> tick(const Needs &needs, TimePoint now);
    News completed(PlatformCallId id, const PlatformResult &result, TimePoint now);

    /** Highest version of the agent object that this process knows of. */
    std::uint64_t term() const;
    void noteTerm(std::uint64_t term);

private:
    enum class Purpose {
        ReadConfiguration,
        WatchConfiguration,
        ReadAgent,
        WriteAgent,
        ReadConfirm,
        WriteConfirm,
        ReadOtherAgent,
    };
    struct Pending {
        Purpose purpose;
        TimePoint sentAt;
        Confirmation confirmation;
        FailureDomainName domain; ///< ReadOtherAgent.
    };

    bool outstanding(Purpose purpose) const;
    PlatformCall &begin(std::vector<PlatformCall> &calls, Purpose purpose, PlatformCall::Kind kind, std::string key,
                        TimePoint now);
    void dropLost(TimePoint now);
    void callConfiguration(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now);
    void callAgentRole(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now);
    void callLookup(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now);
    void callConfirm(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now);
    void noteAvailability(const PlatformResult &result, News &news, TimePoint now);
    void completeConfiguration(const Pending &call, const PlatformResult &result, News &news);
    void completeAgentRole(const Pending &call, const PlatformResult &result, News &news, TimePoint now);
    void completeConfirm(const Pending &call, const PlatformResult &result, News &news);

    std::string agentKey_;
    std::string confirmKey_;
    RoleHolder self_;
    bool active_ = false;
    std::map<PlatformCallId, Pending> calls_;
    std::uint64_t lastId_ = 0;

    bool available_ = true;
    TimePoint retryAt_;
    Millis backoff_;

    bool readWanted_ = true;
    TimePoint nextRead_;
    ConfigVersion seen_;

    bool roleKnown_ = false;
    bool roleHeld_ = false;
    std::uint64_t roleVersion_ = 0;
    TimePoint roleChangedAt_;
    TimePoint nextRoleCall_;
    std::uint64_t term_ = 0;
    TimePoint nextLookup_;

    bool confirmKnown_ = false;
    std::uint64_t confirmObjectVersion_ = 0;
    ConfigVersion confirmedVersion_;
};

} // namespace Hibiscus

#endif
