#ifndef HIBISCUS_MEMBERSHIP_DOMAINAGENTSTATE_H
#define HIBISCUS_MEMBERSHIP_DOMAINAGENTSTATE_H

#include "membership/domainagent.h"
#include "membership/platformlink.h"
#include "membership/pollplan.h"
#include "membership/pollrounds.h"
#include "membership/relaygroup.h"
#include "membership/relayreports.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** State and transitions of a DomainAgent. Each transition adds what it requires to effects_. */
class DomainAgent::State
{
public:
    State(AgentSettings settings, const Clock &clock, RandomSource &random);

    /** To be called before each transition: notices that the process was stopped, which a late message may do first. */
    void enter();
    Effects takeEffects();

    void tick();
    ControlResponse handle(const ControlRequest &request);
    void responded(RequestId id, const ControlResponse &response);
    void failed(RequestId id);
    void platformCompleted(PlatformCallId id, const PlatformResult &result);
    void configurationInstalled(ConfigVersion version, const Rosters &rosters);
    void configurationRefused(ConfigVersion version);
    void setLocalState(bool draining, int headroom);
    void publish(const PayloadEntry &entry);

    TimePoint now() const;

    MemberTable table_;
    FreshnessLease lease_;
    RuleAdoption adoption_;
    bool agent_ = false;
    bool superseded_ = false;
    ServerName knownAgent_;

private:
    struct Pending {
        HostAddress to;
        ServerName toName;
        std::size_t kind = 0; ///< Index of the request's type in ControlRequest.
        TimePoint sentAt;
        std::uint64_t round = 0; ///< Poll, and an announce with a report.
        std::uint32_t originTag = 0; ///< Poll.
        std::uint32_t group = 0; ///< Poll to a relay, and an announce with a report.
        std::uint64_t tableVersion = 0; ///< Own table at the time of sending.
        Incarnation table; ///< View request: process whose table it refers to.
        std::vector<PayloadEntry> entries; ///< To be sent again when the request fails.
    };
    struct Echo {
        Incarnation incarnation;
        TimePoint sentAt; ///< Clock of the other process.
        TimePoint receivedAt;
    };
    struct Contact {
        ServerName name;
        HostAddress address;
    };
    using Changes = std::pair<std::vector<MemberRecord>, std::vector<PayloadEntry>>;

    ControlResponse on(const Poll &poll);
    ControlResponse on(const Announce &announce);
    ControlResponse on(const ViewRequest &request);
    ControlResponse on(const LeaseRequest &request);
    ControlResponse on(const ConfigurationRequest &request);
    void receive(const Pending &request, const PollResponse &response);
    void receive(const Pending &request, const AnnounceResponse &response);
    void receive(const Pending &request, const ViewDifference &response);
    void receive(const Pending &request, const LeaseResponse &response);
    void receive(const Pending &request, const ConfigurationText &response);

    Sender self() const;
    Pending *send(const HostAddress &to, const ServerName &toName, ControlRequest request);
    bool waitingFor(std::size_t kind, const HostAddress &to) const;
    void log(LogEvent event, std::string detail);

    // Records and entries
    bool mergeRecord(const MemberRecord &record);
    Changes mergeAll(const std::vector<MemberRecord> &records, const std::vector<PayloadEntry> &entries);
    void noteOwnRevision(std::uint64_t revision, bool up);
    void meetNamesake(std::uint64_t revision);
    void bumpOwnRecord();
    void passOn(const Sender &from, const Changes &changes);
    void noteVersion(const Sender &from);
    void noteView(const Sender &from);
    void noteAgentOf(const FailureDomainName &domain, const ServerName &agent, const HostAddress &address);
    void flushEntries();

    // Agent role
    const PollOrigin *originOf(const Poll &poll);
    void takePoll(const PollOrigin &origin, const Poll &poll, PollResponse &response);
    void notePollOfAgent(const PollOrigin &origin, const Poll &poll);
    void considerTakeover();
    void startAgent();
    void standDown(const std::string &reason);
    bool outranks(const PollOrigin &origin, const Poll &poll) const;
    std::size_t rank(const ServerName &name) const;
    int takeoverRounds() const;
    std::vector<ServerName> hashOrder() const;

    // Rounds
    void startRound();
    void markSilentMembersDown();
    std::vector<PollTarget> planRound() const;
    void sendPolls(const std::vector<PollTarget> &targets);
    void sendPoll(const PollOrigin &origin, Poll poll, const RelayTarget &target);
    PollOrigin originFor(const ServerName &agent, const HostAddress &address) const;
    void startRelay(const Poll &poll);
    void sendRelayReport();
    void takeResponses(const std::vector<PollResponse> &responses);
    void takeResponse(const PollResponse &response, TimePoint roundSentAt);
    void noteRound(std::uint64_t round);
    AdoptionReport ownReport() const;

    // Without an agent
    void seekPeers();
    void announceTo(const Contact &contact);
    void requestLease();
    std::optional<Contact> randomMember(const std::optional<FailureDomainName> &domain);
    std::optional<Contact> randomSeed();

    // Other domains
    void exchangeViews();
    void exchangeWith(const FailureDomainName &domain);

    // Configuration
    ConfigVersion knownVersion() const;
    void offer(ConfigVersion version, const std::string &text);
    void callPlatform();
    void noteHolder(const RoleHolder &holder);
    void noteUnreachable(const FailureDomainName &domain);
    void noteLease();
    void expireRequests();

    AgentSettings settings_;
    const Clock &clock_;
    RandomSource &random_;
    Effects effects_;
    MemberRecord own_;
    std::optional<TimePoint> lastEntry_;
    TimePoint startedAt_;

    std::map<RequestId, Pending> requests_;
    std::uint64_t lastRequest_ = 0;
    std::map<ServerName, Echo> echoes_;
    std::map<std::uint32_t, PollOrigin> origins_; ///< Senders of polls, by tag.
    std::map<ServerName, std::uint32_t> introducedTo_; ///< Tag of the origin that each polled member knows.
    std::map<Incarnation, std::uint64_t> fetchedUpTo_; ///< Version of another process's table that this one has.
    std::map<Incarnation, std::uint64_t> pushedUpTo_; ///< Version of the own table that another process has.
    std::vector<PayloadEntry> unsentEntries_;

    std::map<ConfigVersion, std::string> offered_; ///< Texts that are being installed.
    ConfigVersion refused_;
    std::string text_;
    Rosters rosters_;

    PlatformLink platform_;
    PollRounds rounds_;
    RelayGroup relay_;
    RelayReports relayReports_;
    std::uint64_t grantedRound_ = 0;
    bool tookOver_ = false; ///< No round since the takeover has granted a lease.
    bool majorityAnswered_ = false;
    TimePoint nextRound_;
    TimePoint roundSentAt_;
    bool urgent_ = false;
    std::map<ServerName, TimePoint> heardAt_;
    std::map<ServerName, TimePoint> silentSince_; ///< Members whose last direct poll or announce failed.

    HostAddress agentAddress_;
    TimePoint lastContact_; ///< Last poll of any agent.
    TimePoint lastPoll_; ///< Last poll that keeps this process from taking over.
    TimePoint nextSeek_;
    bool announced_ = false; ///< The own record has reached the agent in its current revision.
    TimePoint nextExchange_;
    bool exchangeNow_ = false;
    std::map<FailureDomainName, Contact> otherAgents_;
    std::optional<Contact>
        rival_; ///< Process that holds the role of this domain in the platform though this one polls.
    std::set<FailureDomainName> unreachable_;

    bool stopped_ = false; ///< Was stopped, and has not been polled under its own record since.
    TimePoint resumedAt_;
    bool wasFresh_ = false;
    TimePoint nextHeadroom_;
};

} // namespace Hibiscus

#endif
