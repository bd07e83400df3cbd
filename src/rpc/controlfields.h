#ifndef HIBISCUS_RPC_CONTROLFIELDS_H
#define HIBISCUS_RPC_CONTROLFIELDS_H

#include "membership/controlmessages.h"

#include <concepts>
#include <type_traits>

namespace Hibiscus
{

/** Matches a message and a const message, so that one description serves reading and writing. */
template<class T, class Message>
concept MessageOf = std::same_as<std::remove_const_t<T>, Message>;

template<class Io>
void describe(Io &io, MessageOf<Sender> auto &m)
{
    io.field("name", m.name);
    io.field("incarnation", m.incarnation);
    io.field("address", m.address);
    io.field("domain", m.domain);
    io.field("version", m.version);
    io.field("viewVersion", m.viewVersion);
    io.field("viewDigest", m.viewDigest);
}

template<class Io>
void describe(Io &io, MessageOf<EchoedLease> auto &m)
{
    io.field("receiver", m.receiver);
    io.field("echo", m.echo);
    io.field("remaining", m.remaining);
}

template<class Io>
void describe(Io &io, MessageOf<RelayTarget> auto &m)
{
    io.field("name", m.name);
    io.field("address", m.address);
}

template<class Io>
void describe(Io &io, MessageOf<MemberRecord> auto &m)
{
    io.field("name", m.name);
    io.field("incarnation", m.incarnation);
    io.field("revision", m.revision);
    io.field("address", m.peerAddress);
    io.field("domain", m.domain);
    io.field("service", m.service);
    io.field("adopted", m.adopted);
    io.field("draining", m.draining);
    io.field("up", m.up);
    io.field("headroom", m.headroom);
}

template<class Io>
void describe(Io &io, MessageOf<PayloadEntry> auto &m)
{
    io.field("table", m.table);
    io.field("key", m.key);
    io.field("value", m.value);
    io.field("revision", m.revision);
}

template<class Io>
void describe(Io &io, MessageOf<Poll> auto &m)
{
    io.field("from", m.from);
    io.field("agent", m.agent);
    io.field("agentAddress", m.agentAddress);
    io.field("round", m.round);
    io.field("term", m.term);
    io.field("fresh", m.fresh);
    io.field("knownRevision", m.knownRevision);
    io.field("knownUp", m.knownUp);
    io.optional("lease", m.lease);
    io.field("group", m.group);
    io.list("relayTo", m.relayTo);
}

template<class Io>
void describe(Io &io, MessageOf<PollResponse> auto &m)
{
    io.field("name", m.name);
    io.field("incarnation", m.incarnation);
    io.field("round", m.round);
    io.field("revision", m.revision);
    io.field("adopted", m.adopted);
    io.field("counts", m.counts);
    io.field("leaseRemaining", m.leaseRemaining);
    io.field("sentAt", m.sentAt);
    io.field("groupUnknown", m.groupUnknown);
    io.optional("record", m.record);
}

template<class Io>
void describe(Io &io, MessageOf<RelayReport> auto &m)
{
    io.field("group", m.group);
    io.field("round", m.round);
    io.list("unchanged", m.unchanged);
    io.list("changed", m.changed);
}

template<class Io>
void describe(Io &io, MessageOf<Announce> auto &m)
{
    io.field("from", m.from);
    io.list("records", m.records);
    io.list("entries", m.entries);
    io.optional("report", m.report);
}

template<class Io>
void describe(Io &io, MessageOf<AnnounceResponse> auto &m)
{
    io.field("from", m.from);
    io.field("leaseRemaining", m.leaseRemaining);
    io.field("agent", m.agent);
    io.field("agentAddress", m.agentAddress);
}

template<class Io>
void describe(Io &io, MessageOf<ViewRequest> auto &m)
{
    io.field("from", m.from);
    io.field("table", m.table);
    io.field("since", m.since);
    io.list("records", m.records);
    io.list("entries", m.entries);
}

template<class Io>
void describe(Io &io, MessageOf<ViewDifference> auto &m)
{
    io.field("from", m.from);
    io.field("agent", m.agent);
    io.field("agentAddress", m.agentAddress);
    io.list("records", m.records);
    io.list("entries", m.entries);
}

template<class Io>
void describe(Io &io, MessageOf<LeaseRequest> auto &m)
{
    io.field("from", m.from);
}

template<class Io>
void describe(Io &io, MessageOf<LeaseResponse> auto &m)
{
    io.field("from", m.from);
    io.field("leaseRemaining", m.leaseRemaining);
}

template<class Io>
void describe(Io &io, MessageOf<ConfigurationRequest> auto &m)
{
    io.field("have", m.have);
}

template<class Io>
void describe(Io &io, MessageOf<ConfigurationText> auto &m)
{
    io.field("version", m.version);
    io.field("text", m.text);
}

} // namespace Hibiscus

#endif
