#ifndef HIBISCUS_MEMBERSHIP_MEMBERTABLE_H
#define HIBISCUS_MEMBERSHIP_MEMBERTABLE_H

#include "core/millis.h"
#include "membership/memberrecord.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** Member records and payload entries of all failure domains. Each change gets the next version of the table. */
class MemberTable
{
public:
    /** Takes over @p record if it is newer than what is known of its name; returns whether it was. */
    bool merge(const MemberRecord &record);

    /** Takes over @p entry if it is newer than what is known under its key; returns whether it was. */
    bool merge(const PayloadEntry &entry, TimePoint now);

    /** Marks the process of @p name as down; returns whether it was up. */
    bool markDown(const ServerName &name);

    /** Notes the configuration adopted by a member, which is not passed on as a difference. */
    void setAdopted(const ServerName &name, ConfigVersion version);

    /** Drops payload entries whose lifetime has passed. */
    void expire(TimePoint now);

    const MemberRecord *find(const ServerName &name) const;
    std::vector<MemberRecord> records() const;
    std::vector<MemberRecord> recordsOf(const FailureDomainName &domain) const;

    std::uint64_t version() const;
    /** Hash of the records and entries that doesn't depend on the order in which they arrived. */
    std::uint64_t digest() const;
    std::vector<MemberRecord> recordsSince(std::uint64_t version) const;
    std::vector<PayloadEntry> entriesSince(std::uint64_t version) const;

private:
    struct StoredRecord {
        MemberRecord record;
        std::uint64_t changedAt = 0;
    };
    struct StoredEntry {
        PayloadEntry entry;
        std::uint64_t changedAt = 0;
        TimePoint since;
    };

    void dropOldestEntry();

    std::map<ServerName, StoredRecord> records_;
    std::map<std::pair<std::string, std::string>, StoredEntry> entries_;
    std::uint64_t version_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace Hibiscus

#endif
