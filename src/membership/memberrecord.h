#ifndef HIBISCUS_MEMBERSHIP_MEMBERRECORD_H
#define HIBISCUS_MEMBERSHIP_MEMBERRECORD_H

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace Hibiscus
{

/** What is known of the process of one server name. */
struct MemberRecord {
    ServerName name;
    Incarnation incarnation;
    /**
     * Orders the records of one name. The high 32 bits count the processes that ran under the name, the low 32 bits
     * the changes made by the process itself.
     */
    std::uint64_t revision = 0;
    HostAddress peerAddress;
    FailureDomainName domain;
    ServiceName service;
    ConfigVersion adopted; ///< Only kept by agents; a change is not passed on as a difference.
    bool draining = false;
    bool up = true; ///< At equal revisions a record that is down replaces one that is up.
    int headroom = 0; ///< Coarse: at most one update a minute is passed on for headroom alone.

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/** Opaque entry of another table (such as a crash report) that is distributed along with the member records. */
struct PayloadEntry {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< A higher revision replaces a lower one under the same table and key.

    friend bool operator==(const PayloadEntry &, const PayloadEntry &) = default;
};

} // namespace Hibiscus

#endif
