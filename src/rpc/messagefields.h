#ifndef HIBISCUS_RPC_MESSAGEFIELDS_H
#define HIBISCUS_RPC_MESSAGEFIELDS_H

#include "membership/controlmessages.h"

#include <cstddef>

namespace Hibiscus
{

/** Longest name, address or key in a control message. */
inline constexpr std::size_t kMaxNameBytes = 256;
/** Longest value of a payload entry. */
inline constexpr std::size_t kMaxEntryBytes = 64U << 10U;
/** Longest configuration text; the platform holds values up to 1 MB. */
inline constexpr std::size_t kMaxTextBytes = 2U << 20U;
/** Most elements of a list in a control message. */
inline constexpr std::size_t kMaxListItems = 10000;

/**
 * Members of each message and their names in JSON, for JsonMessageWriter and JsonMessageReader. required() members are
 * always present; optional() ones and flag() members are left out when they have their
 * default value. Short names keep
 * a poll small: at 150 members an agent or a relay exchanges about 17 of them per second within 10 KB/s.
 */
template<class Visitor>
void visitFields(Visitor &v, Sender &m)
{
    v.required("n", m.name);
    v.required("i", m.incarnation);
    v.required("a", m.address);
    v.required("d", m.domain);
    v.optional("v", m.version);
    v.optional("t", m.viewVersion);
    v.optional("h", m.viewDigest);
}

template<class Visitor>
void visitFields(Visitor &v, EchoedLease &m)
{
    v.required("i", m.receiver);
    v.required("e", m.echo);
    v.required("r", m.remaining);
}

template<class Visitor>
void visitFields(Visitor &v, RelayTarget &m)
{
    v.required("n", m.name);
    v.required("a", m.address);
}

template<class Visitor>
void visitFields(Visitor &v, MemberRecord &m)
{
    v.required("n", m.name);
    v.required("i", m.incarnation);
    v.required("r", m.revision);
    v.required("a", m.peerAddress);
    v.required("d", m.domain);
    v.optional("s", m.service);
    v.optional("v", m.adopted);
    v.flag("dr", m.draining, false);
    v.flag("u", m.up, true);
    v.optional("h", m.headroom);
}

template<class Visitor>
void visitFields(Visitor &v, PayloadEntry &m)
{
    v.required("t", m.table);
    v.required("k", m.key);
    v.text("v", m.value, kMaxEntryBytes);
    v.required("r", m.revision);
}

template<class Visitor>
void visitFields(Visitor &v, PollOrigin &m)
{
    v.required("n", m.name);
    v.required("i", m.incarnation);
    v.required("a", m.address);
    v.required("d", m.domain);
    v.required("ag", m.agent);
    v.required("aa", m.agentAddress);
}

template<class Visitor>
void visitFields(Visitor &v, Poll &m)
{
    v.optional("v", m.version);
    v.optional("w", m.viewVersion);
    v.optional("h", m.viewDigest);
    v.required("o", m.originTag);
    v.optional("f", m.origin);
    v.required("r", m.round);
    v.optional("t", m.term);
    v.flag("fr", m.fresh, false);
    v.optional("kr", m.knownRevision);
    v.flag("ku", m.knownUp, true);
    v.optional("l", m.lease);
    v.optional("g", m.group);
    v.optional("rt", m.relayTo);
}

template<class Visitor>
void visitFields(Visitor &v, PollResponse &m)
{
    v.optional("n", m.name);
    v.required("i", m.incarnation);
    v.optional("r", m.round);
    v.required("rv", m.revision);
    v.optional("v", m.adopted);
    v.flag("c", m.counts, false);
    v.optional("l", m.leaseRemaining);
    v.optional("s", m.sentAt);
    v.flag("ou", m.originUnknown, false);
    v.flag("gu", m.groupUnknown, false);
    v.optional("rec", m.record);
}

template<class Visitor>
void visitFields(Visitor &v, RelayReport &m)
{
    v.required("i", m.relay);
    v.required("g", m.group);
    v.required("r", m.round);
    v.indices("u", m.unchanged);
    v.optional("c", m.changed);
}

template<class Visitor>
void visitFields(Visitor &v, Announce &m)
{
    v.optional("f", m.from);
    v.optional("rec", m.records);
    v.optional("e", m.entries);
    v.optional("rep", m.report);
}

template<class Visitor>
void visitFields(Visitor &v, AnnounceResponse &m)
{
    v.optional("f", m.from);
    v.optional("l", m.leaseRemaining);
    v.optional("ag", m.agent);
    v.optional("aa", m.agentAddress);
}

template<class Visitor>
void visitFields(Visitor &v, ViewRequest &m)
{
    v.required("f", m.from);
    v.optional("i", m.table);
    v.optional("s", m.since);
    v.optional("rec", m.records);
    v.optional("e", m.entries);
}

template<class Visitor>
void visitFields(Visitor &v, ViewDifference &m)
{
    v.required("f", m.from);
    v.optional("ag", m.agent);
    v.optional("aa", m.agentAddress);
    v.optional("rec", m.records);
    v.optional("e", m.entries);
}

template<class Visitor>
void visitFields(Visitor &v, LeaseRequest &m)
{
    v.required("f", m.from);
}

template<class Visitor>
void visitFields(Visitor &v, LeaseResponse &m)
{
    v.required("f", m.from);
    v.optional("l", m.leaseRemaining);
}

template<class Visitor>
void visitFields(Visitor &v, ConfigurationRequest &m)
{
    v.optional("v", m.have);
}

template<class Visitor>
void visitFields(Visitor &v, ConfigurationText &m)
{
    v.optional("v", m.version);
    v.text("t", m.text, kMaxTextBytes);
}

} // namespace Hibiscus

#endif
