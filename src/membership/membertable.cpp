#include "membership/membertable.h"

#include "core/contenthash.h"
#include "membership/membershiplimits.h"

#include <algorithm>
#include <tuple>

namespace Hibiscus
{

namespace
{

auto orderOf(const MemberRecord &record)
{
    return std::tuple(record.revision, record.incarnation, !record.up);
}

std::uint64_t hashOf(const MemberRecord &record)
{
    return stableHash(record.name.value(), record.revision * 2 + (record.up ? 1 : 0) + record.incarnation.value());
}

std::uint64_t hashOf(const PayloadEntry &entry)
{
    return stableHash(entry.table, stableHash(entry.key, entry.revision));
}

} // namespace

bool MemberTable::merge(const MemberRecord &record)
{
    StoredRecord &stored = records_[record.name];
    if (stored.changedAt != 0 && orderOf(record) <= orderOf(stored.record)) {
        return false;
    }
    const bool sameProcess = stored.record.incarnation == record.incarnation;
    const ConfigVersion adopted = sameProcess ? std::max(stored.record.adopted, record.adopted) : record.adopted;
    if (stored.changedAt != 0) {
        digest_ ^= hashOf(stored.record);
    }
    stored.record = record;
    stored.record.adopted = adopted;
    stored.changedAt = ++version_;
    digest_ ^= hashOf(record);
    return true;
}

bool MemberTable::merge(const PayloadEntry &entry, TimePoint now)
{
    StoredEntry &stored = entries_[{entry.table, entry.key}];
    if (stored.changedAt != 0 && entry.revision <= stored.entry.revision) {
        return false;
    }
    if (stored.changedAt != 0) {
        digest_ ^= hashOf(stored.entry);
    }
    stored = {entry, ++version_, now};
    digest_ ^= hashOf(entry);
    if (entries_.size() > kMaxEntries) {
        dropOldestEntry();
    }
    return true;
}

void MemberTable::dropOldestEntry()
{
    const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
        return a.second.changedAt < b.second.changedAt;
    });
    digest_ ^= hashOf(oldest->second.entry);
    entries_.erase(oldest);
}

bool MemberTable::markDown(const ServerName &name)
{
    const auto found = records_.find(name);
    if (found == records_.end() || !found->second.record.up) {
        return false;
    }
    digest_ ^= hashOf(found->second.record);
    found->second.record.up = false;
    digest_ ^= hashOf(found->second.record);
    found->second.changedAt = ++version_;
    return true;
}

void MemberTable::setAdopted(const ServerName &name, ConfigVersion version)
{
    const auto found = records_.find(name);
    if (found != records_.end()) {
        found->second.record.adopted = version;
    }
}

void MemberTable::expire(TimePoint now)
{
    std::erase_if(entries_, [&](const auto &item) {
        const bool expired = now - item.second.since > kEntryLifetime;
        digest_ ^= expired ? hashOf(item.second.entry) : 0;
        return expired;
    });
}

const MemberRecord *MemberTable::find(const ServerName &name) const
{
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second.record;
}

std::vector<MemberRecord> MemberTable::records() const
{
    return recordsSince(0);
}

std::vector<MemberRecord> MemberTable::recordsOf(const FailureDomainName &domain) const
{
    std::vector<MemberRecord> result;
    for (const auto &[name, stored] : records_) {
        if (stored.record.domain == domain) {
            result.push_back(stored.record);
        }
    }
    return result;
}

std::uint64_t MemberTable::version() const
{
    return version_;
}

std::uint64_t MemberTable::digest() const
{
    return digest_;
}

std::vector<MemberRecord> MemberTable::recordsSince(std::uint64_t version) const
{
    std::vector<MemberRecord> result;
    for (const auto &[name, stored] : records_) {
        if (stored.changedAt > version) {
            result.push_back(stored.record);
        }
    }
    return result;
}

std::vector<PayloadEntry> MemberTable::entriesSince(std::uint64_t version) const
{
    std::vector<PayloadEntry> result;
    for (const auto &[key, stored] : entries_) {
        if (stored.changedAt > version) {
            result.push_back(stored.entry);
        }
    }
    return result;
}

} // namespace Hibiscus
