#include "membership/platformlink.h"

#include "membership/domainagent.h"
#include "membership/membershiplimits.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace Hibiscus
{

std::string formatConfirmation(const Confirmation &confirmation)
{
    std::string text = std::to_string(confirmation.version.value()) + '\n';
    for (const ServerName &name : confirmation.roster) {
        text += name.value() + '\n';
    }
    return text;
}

std::optional<Confirmation> parseConfirmation(const std::string &value)
{
    std::istringstream lines(value);
    std::string line;
    std::uint64_t version = 0;
    if (!std::getline(lines, line)) {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), version);
    if (error != std::errc() || end != line.data() + line.size() || version == 0) {
        return std::nullopt;
    }
    Confirmation result{ConfigVersion(version), {}};
    while (std::getline(lines, line)) {
        result.roster.emplace_back(line);
    }
    return result;
}

std::string formatRoleHolder(const RoleHolder &holder)
{
    return holder.name.value() + '\n' + std::to_string(holder.incarnation.value()) + '\n' + holder.address.value();
}

std::optional<RoleHolder> parseRoleHolder(const FailureDomainName &domain, const std::string &value)
{
    std::istringstream lines(value);
    std::string name;
    std::uint64_t incarnation = 0;
    std::string address;
    if (!std::getline(lines, name) || !(lines >> incarnation >> address)) {
        return std::nullopt;
    }
    return RoleHolder{domain, ServerName(name), Incarnation(incarnation), HostAddress(address)};
}

PlatformLink::PlatformLink(RoleHolder self)
    : agentKey_(DomainAgent::agentKey(self.domain))
    , confirmKey_(DomainAgent::confirmKey(self.domain))
    , self_(std::move(self))
    , backoff_(kPlatformBackoff)
{
}

void PlatformLink::start()
{
    active_ = true;
    readWanted_ = true;
    roleKnown_ = false;
    roleHeld_ = false;
    confirmKnown_ = false;
}

void PlatformLink::stop()
{
    active_ = false;
}

bool PlatformLink::outstanding(Purpose purpose) const
{
    return std::ranges::any_of(calls_, [purpose](const auto &item) { return item.second.purpose == purpose; });
}

PlatformCall &PlatformLink::begin(std::vector<PlatformCall> &calls, Purpose purpose, PlatformCall::Kind kind,
                                  std::string key, TimePoint now)
{
    const PlatformCallId id(++lastId_);
    calls_.emplace(id, Pending{purpose, now, {}, {}});
    PlatformCall call;
    call.id = id;
    call.kind = kind;
    call.key = std::move(key);
    calls.push_back(std::move(call));
    return calls.back();
}

std::vector<PlatformCall> PlatformLink::tick(const Needs &needs, TimePoint now)
{
    dropLost(now);
    std::vector<PlatformCall> calls;
    if (!active_ || now < retryAt_) {
        return calls;
    }
    callConfiguration(calls, needs, now);
    callAgentRole(calls, needs, now);
    callConfirm(calls, needs, now);
    callLookup(calls, needs, now);
    return calls;
}

void PlatformLink::dropLost(TimePoint now)
{
    std::vector<PlatformCallId> lost;
    for (const auto &[id, call] : calls_) {
        const bool watch = call.purpose == Purpose::WatchConfiguration;
        if (now - call.sentAt > kPlatformCallTimeout + (watch ? kWatchTimeout : Millis{0})) {
            lost.push_back(id);
        }
    }
    for (const PlatformCallId &id : lost) {
        completed(id, {PlatformResult::Status::Ambiguous, {}, 0}, now);
    }
}

void PlatformLink::callConfiguration(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now)
{
    const std::string key = DomainAgent::configurationKey();
    // A majority renews the lease each round; a read is needed only where that failed for half of the lease.
    const bool leaseEnds = needs.leaseExpiry - now < kLeaseLength * 0.5;
    if ((readWanted_ || leaseEnds) && now >= nextRead_ && !outstanding(Purpose::ReadConfiguration)) {
        begin(calls, Purpose::ReadConfiguration, PlatformCall::Kind::Get, key, now);
        nextRead_ = now + kReadSpacing;
    }
    const ConfigVersion after = std::max(needs.known, seen_);
    if (after > ConfigVersion() && !outstanding(Purpose::WatchConfiguration)) {
        PlatformCall &call = begin(calls, Purpose::WatchConfiguration, PlatformCall::Kind::Watch, key, now);
        call.version = after.value();
        call.timeout = kWatchTimeout;
    }
}

void PlatformLink::callAgentRole(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now)
{
    if (now < nextRoleCall_ || outstanding(Purpose::ReadAgent) || outstanding(Purpose::WriteAgent)) {
        return;
    }
    if (!roleKnown_) {
        begin(calls, Purpose::ReadAgent, PlatformCall::Kind::Get, agentKey_, now);
        return;
    }
    const bool free = roleVersion_ == 0 || now - roleChangedAt_ >= kAgentLeaseLength;
    nextRoleCall_ = now + kAgentRenewal;
    if (!roleHeld_ && !free && !needs.mayClaim) {
        roleKnown_ = false;
        return;
    }
    const auto kind = roleVersion_ == 0 ? PlatformCall::Kind::Create : PlatformCall::Kind::Update;
    PlatformCall &call = begin(calls, Purpose::WriteAgent, kind, agentKey_, now);
    call.value = formatRoleHolder(self_);
    call.version = roleVersion_;
}

void PlatformLink::callLookup(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now)
{
    if (needs.lost && now >= nextLookup_ && !outstanding(Purpose::ReadOtherAgent)) {
        nextLookup_ = now + kAgentRenewal;
        const std::string key = DomainAgent::agentKey(*needs.lost);
        const PlatformCall &call = begin(calls, Purpose::ReadOtherAgent, PlatformCall::Kind::Get, key, now);
        calls_.at(call.id).domain = *needs.lost;
    }
}

void PlatformLink::callConfirm(std::vector<PlatformCall> &calls, const Needs &needs, TimePoint now)
{
    if (outstanding(Purpose::ReadConfirm) || outstanding(Purpose::WriteConfirm)) {
        return;
    }
    if (!confirmKnown_) {
        begin(calls, Purpose::ReadConfirm, PlatformCall::Kind::Get, confirmKey_, now);
        return;
    }
    if (!needs.confirm || needs.confirm->version <= confirmedVersion_) {
        return;
    }
    const auto kind = confirmObjectVersion_ == 0 ? PlatformCall::Kind::Create : PlatformCall::Kind::Update;
    PlatformCall &call = begin(calls, Purpose::WriteConfirm, kind, confirmKey_, now);
    call.value = formatConfirmation(*needs.confirm);
    call.version = confirmObjectVersion_;
    calls_.at(call.id).confirmation = *needs.confirm;
}

PlatformLink::News PlatformLink::completed(PlatformCallId id, const PlatformResult &result, TimePoint now)
{
    News news;
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return news;
    }
    const Pending call = found->second;
    calls_.erase(found);
    noteAvailability(result, news, now);
    switch (call.purpose) {
    case Purpose::ReadConfiguration:
    case Purpose::WatchConfiguration:
        completeConfiguration(call, result, news);
        break;
    case Purpose::ReadAgent:
    case Purpose::WriteAgent:
        completeAgentRole(call, result, news, now);
        break;
    case Purpose::ReadConfirm:
    case Purpose::WriteConfirm:
        completeConfirm(call, result, news);
        break;
    case Purpose::ReadOtherAgent:
        if (result.status == PlatformResult::Status::Ok) {
            news.holder = parseRoleHolder(call.domain, result.value);
        }
        break;
    }
    return news;
}

void PlatformLink::noteAvailability(const PlatformResult &result, News &news, TimePoint now)
{
    const bool failed =
        result.status == PlatformResult::Status::Unavailable || result.status == PlatformResult::Status::Ambiguous;
    if (available_ == failed) {
        available_ = !failed;
        news.available = available_;
    }
    if (!failed) {
        backoff_ = kPlatformBackoff;
    } else if (now >= retryAt_) {
        retryAt_ = now + backoff_;
        backoff_ = std::min(backoff_ * 2, kPlatformBackoffLimit);
    }
}

void PlatformLink::completeConfiguration(const Pending &call, const PlatformResult &result, News &news)
{
    if (result.status != PlatformResult::Status::Ok) {
        return;
    }
    const ConfigVersion version(result.version);
    seen_ = std::max(seen_, version);
    news.configuration = InstallConfiguration{version, result.value};
    if (call.purpose == Purpose::ReadConfiguration) {
        readWanted_ = false;
        news.readSentAt = call.sentAt;
    }
}

void PlatformLink::completeAgentRole(const Pending &call, const PlatformResult &result, News &news, TimePoint now)
{
    if (call.purpose == Purpose::WriteAgent) {
        if (result.status == PlatformResult::Status::Ok) {
            roleHeld_ = true;
            roleVersion_ = result.version;
            roleChangedAt_ = now;
            noteTerm(result.version);
        } else {
            roleKnown_ = false;
        }
        return;
    }
    if (result.status == PlatformResult::Status::NotFound) {
        roleKnown_ = true;
        roleVersion_ = 0;
    } else if (result.status == PlatformResult::Status::Ok) {
        roleKnown_ = true;
        news.holder = parseRoleHolder(self_.domain, result.value);
        roleHeld_ = news.holder && news.holder->incarnation == self_.incarnation;
        if (roleVersion_ != result.version) {
            roleVersion_ = result.version;
            roleChangedAt_ = now;
        }
        // Only the holder has the object's version as its term; with it, another process would outrank the holder.
        if (roleHeld_) {
            news.holder.reset();
            noteTerm(result.version);
        }
    }
}

void PlatformLink::completeConfirm(const Pending &call, const PlatformResult &result, News &news)
{
    const bool wrote = call.purpose == Purpose::WriteConfirm;
    if (!wrote && result.status == PlatformResult::Status::NotFound) {
        confirmKnown_ = true;
        confirmObjectVersion_ = 0;
        return;
    }
    // After a conflict or a lost answer only another read tells what the object holds.
    confirmKnown_ = false;
    if (result.status != PlatformResult::Status::Ok) {
        return;
    }
    const std::optional<Confirmation> state = wrote ? call.confirmation : parseConfirmation(result.value);
    if (!state) {
        return;
    }
    confirmKnown_ = true;
    confirmObjectVersion_ = result.version;
    confirmedVersion_ = state->version;
    news.confirmed = state;
    news.wroteConfirmation = wrote;
}

std::uint64_t PlatformLink::term() const
{
    return term_;
}

void PlatformLink::noteTerm(std::uint64_t term)
{
    term_ = std::max(term_, term);
}

} // namespace Hibiscus
