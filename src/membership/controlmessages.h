#ifndef HIBISCUS_MEMBERSHIP_CONTROLMESSAGES_H
#define HIBISCUS_MEMBERSHIP_CONTROLMESSAGES_H

#include "core/ids.h"
#include "core/millis.h"
#include "membership/memberrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Hibiscus
{

/** Sender of a control message and what it has: a receiver that is behind fetches from this address. */
struct Sender {
    ServerName name;
    Incarnation incarnation;
    HostAddress address;
    FailureDomainName domain;
    ConfigVersion version; ///< Adopted configuration.
    std::uint64_t viewVersion = 0; ///< Version of the sender's member table; only comparable for one incarnation.
    std::uint32_t viewDigest = 0; ///< Equal digests: the tables hold the same records, so nothing has to be fetched.

    friend bool operator==(const Sender &, const Sender &) = default;
};

/**
 * Remainder of the sender's freshness lease in a message that was not asked for. It counts from the time at which the
 * receiver sent the response that is echoed, so a delayed message extends nothing.
 */
struct EchoedLease {
    std::uint32_t receiver = 0; ///< Low half of the incarnation that sent the echoed response.
    TimePoint echo; ///< Its own clock reading, PollResponse::sentAt.
    Millis remaining; ///< From the arrival of that response to the end of the sender's lease.

    friend bool operator==(const EchoedLease &, const EchoedLease &) = default;
};

/** Member that the receiver of a poll shall poll in turn. */
struct RelayTarget {
    ServerName name;
    HostAddress address;

    friend bool operator==(const RelayTarget &, const RelayTarget &) = default;
};

/** Who sends a poll and for whom; the part of polls that stays the same. */
struct PollOrigin {
    ServerName name;
    Incarnation incarnation;
    HostAddress address;
    FailureDomainName domain;
    ServerName agent; ///< Agent that started the round; the sender itself unless the poll was relayed.
    HostAddress agentAddress;

    friend bool operator==(const PollOrigin &, const PollOrigin &) = default;
};

/** Heartbeat of an agent, or of a relay on its behalf. */
struct Poll {
    ConfigVersion version; ///< Adopted by the sender, as is the table that the next two members describe.
    std::uint64_t viewVersion = 0;
    std::uint32_t viewDigest = 0;
    std::uint32_t originTag = 0; ///< Hash of the origin.
    std::optional<PollOrigin> origin; ///< Left out once the receiver knows the origin of this tag.
    std::uint64_t round = 0; ///< Increases with each round of one agent.
    std::uint64_t term = 0; ///< Version of the platform's agent object as far as the agent knows it.
    bool fresh = false; ///< The agent held a lease when it sent the round.
    std::uint64_t knownRevision = 0; ///< Revision of the receiver's record in the sender's table.
    bool knownUp = true;
    std::optional<EchoedLease> lease;
    std::uint32_t group = 0; ///< Group that the receiver shall relay to; 0 for none.
    std::vector<RelayTarget> relayTo; ///< Members of the group; left out once the relay knows it.

    friend bool operator==(const Poll &, const Poll &) = default;
};

struct PollResponse {
    ServerName name; ///< Left out on the way to the poller, who knows whom it polled.
    Incarnation incarnation;
    std::uint64_t round = 0;
    std::uint64_t revision = 0;
    ConfigVersion adopted;
    bool counts = false; ///< Fresh without a gap for L plus 10%: may count in a majority.
    Millis leaseRemaining; ///< 0 when not fresh.
    TimePoint sentAt; ///< Reading of the responder's clock, to be echoed.
    bool originUnknown = false; ///< The poll left out its origin, and the responder doesn't know it.
    bool groupUnknown = false; ///< The poll named a group without its members, and the responder doesn't have it.
    std::optional<MemberRecord> record; ///< Set when the poll showed that the poller's record is out of date.

    friend bool operator==(const PollResponse &, const PollResponse &) = default;
};

/**
 * Responses that a relay collected in one round. Members whose state the agent already has from an acknowledged report
 * are only listed by their index: full responses of 150 members would exceed the agent's 10 KB/s.
 */
struct RelayReport {
    Incarnation relay;
    std::uint32_t group = 0;
    std::uint64_t round = 0;
    std::vector<std::uint32_t> unchanged; ///< Indices into the members of the group.
    std::vector<PollResponse> changed;

    friend bool operator==(const RelayReport &, const RelayReport &) = default;
};

/** Pushes records and entries; also the first message of a new process, and a relay's report. */
struct Announce {
    std::optional<Sender> from; ///< Left out in a report.
    std::vector<MemberRecord> records;
    std::vector<PayloadEntry> entries;
    std::optional<RelayReport> report;

    friend bool operator==(const Announce &, const Announce &) = default;
};

/** All members are left out in the response to a report. */
struct AnnounceResponse {
    std::optional<Sender> from;
    Millis leaseRemaining; ///< Counts from the time at which the announce was sent.
    ServerName agent; ///< Agent of the responder's domain; empty when unknown.
    HostAddress agentAddress;

    friend bool operator==(const AnnounceResponse &, const AnnounceResponse &) = default;
};

/** Asks for the difference of the receiver's table, and gives the sender's own in an exchange between domains. */
struct ViewRequest {
    Sender from;
    Incarnation table; ///< Incarnation of the receiver that @p since refers to.
    std::uint64_t since = 0; ///< 0 asks for the whole table.
    std::vector<MemberRecord> records;
    std::vector<PayloadEntry> entries;

    friend bool operator==(const ViewRequest &, const ViewRequest &) = default;
};

struct ViewDifference {
    Sender from; ///< Sender::viewVersion is the version that the receiver has after this difference.
    ServerName agent; ///< Agent of the responder's domain; empty when unknown.
    HostAddress agentAddress;
    std::vector<MemberRecord> records;
    std::vector<PayloadEntry> entries;

    friend bool operator==(const ViewDifference &, const ViewDifference &) = default;
};

struct LeaseRequest {
    Sender from;

    friend bool operator==(const LeaseRequest &, const LeaseRequest &) = default;
};

struct LeaseResponse {
    Sender from;
    Millis leaseRemaining; ///< Counts from the time at which the request was sent; 0 when not fresh.

    friend bool operator==(const LeaseResponse &, const LeaseResponse &) = default;
};

struct ConfigurationRequest {
    ConfigVersion have; ///< The text is left out when it is not newer.

    friend bool operator==(const ConfigurationRequest &, const ConfigurationRequest &) = default;
};

struct ConfigurationText {
    ConfigVersion version;
    std::string text; ///< Opaque; empty when the requester already has the version.

    friend bool operator==(const ConfigurationText &, const ConfigurationText &) = default;
};

using ControlRequest = std::variant<Poll, Announce, ViewRequest, LeaseRequest, ConfigurationRequest>;
/** Same order as ControlRequest: alternative i answers request alternative i. */
using ControlResponse = std::variant<PollResponse, AnnounceResponse, ViewDifference, LeaseResponse, ConfigurationText>;

} // namespace Hibiscus

#endif
