#include "membership/domainagentstate.h"

#include "core/contenthash.h"
#include "membership/membershiplimits.h"

#include <algorithm>
#include <cmath>
#include <type_traits>

namespace Hibiscus
{

namespace
{

constexpr std::uint64_t kFirstRevision = 1ULL << 32U;
constexpr std::uint64_t kRandomRevisionBits = 30;
constexpr std::uint64_t kRandomRoundBits = 20;

template<class T, std::size_t Index = 0>
constexpr std::size_t indexOfRequest()
{
    if constexpr (std::is_same_v<std::variant_alternative_t<Index, ControlRequest>, T>) {
        return Index;
    } else {
        return indexOfRequest<T, Index + 1>();
    }
}

template<class T>
constexpr std::size_t kRequestKind = indexOfRequest<T>();

/** Half of a 64-bit number: enough to tell processes and tables apart, at half the size in a poll. */
std::uint32_t lowHalf(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

std::uint32_t tagOf(const PollOrigin &origin)
{
    std::uint64_t hash = origin.incarnation.value();
    for (const std::string &part : {origin.name.value(), origin.address.value(), origin.domain.value(),
                                    origin.agent.value(), origin.agentAddress.value()}) {
        hash = stableHash(part, hash);
    }
    return lowHalf(hash);
}

/** Leases are passed on in whole milliseconds, rounded down so that rounding never extends one. */
Millis wholeMillis(Millis duration)
{
    return {std::floor(duration.value)};
}

std::uint64_t randomBits(RandomSource &random, std::uint64_t bits)
{
    return random.next() >> (64U - bits);
}

} // namespace

DomainAgent::State::State(AgentSettings settings, const Clock &clock, RandomSource &random)
    : settings_(std::move(settings))
    , clock_(clock)
    , random_(random)
    , startedAt_(clock.now())
    , platform_({settings_.domain, settings_.name, settings_.incarnation, settings_.peerAddress})
    , rounds_(randomBits(random, kRandomRoundBits))
    , relayReports_(settings_.incarnation)
    , lastContact_(startedAt_ - kRoundLength * kTakeoverRounds)
    , lastPoll_(startedAt_)
{
    own_.name = settings_.name;
    own_.incarnation = settings_.incarnation;
    // Random low bits keep two processes of one name from having equal revisions.
    own_.revision = kFirstRevision + randomBits(random, kRandomRevisionBits);
    own_.peerAddress = settings_.peerAddress;
    own_.domain = settings_.domain;
    own_.service = settings_.service;
    table_.merge(own_);
}

TimePoint DomainAgent::State::now() const
{
    return clock_.now();
}

void DomainAgent::State::enter()
{
    const TimePoint time = now();
    if (lastEntry_ && time - *lastEntry_ > kPauseThreshold) {
        log(LogEvent::PauseDetected, std::to_string((time - *lastEntry_).value) + " ms");
        lease_.noteGap(time);
        stopped_ = true;
        resumedAt_ = time;
        // Asks at once whether another process was started under this name.
        announced_ = false;
        nextSeek_ = time;
        // What was missed while stopped says nothing about the others.
        lastPoll_ = time;
        for (auto &[name, heardAt] : heardAt_) {
            heardAt = time;
        }
    }
    lastEntry_ = time;
}

Effects DomainAgent::State::takeEffects()
{
    return std::exchange(effects_, {});
}

void DomainAgent::State::log(LogEvent event, std::string detail)
{
    effects_.events.push_back({event, std::move(detail)});
}

void DomainAgent::State::tick()
{
    table_.expire(now());
    expireRequests();
    noteLease();
    considerTakeover();
    if (agent_ && (now() >= nextRound_ || (urgent_ && now() - roundSentAt_ >= kUrgentRoundSpacing))) {
        startRound();
    }
    sendRelayReport();
    if (now() >= nextSeek_) {
        nextSeek_ = now() + kRoundLength;
        seekPeers();
    }
    exchangeViews();
    callPlatform();
    flushEntries();
}

ControlResponse DomainAgent::State::handle(const ControlRequest &request)
{
    return std::visit([this](const auto &body) { return on(body); }, request);
}

void DomainAgent::State::responded(RequestId id, const ControlResponse &response)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    if (found->second.kind != response.index()) {
        failed(id);
        return;
    }
    const Pending request = found->second;
    requests_.erase(found);
    silentSince_.erase(request.toName);
    std::visit([&](const auto &body) { receive(request, body); }, response);
}

void DomainAgent::State::failed(RequestId id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    const Pending request = found->second;
    requests_.erase(found);
    silentSince_.emplace(request.toName, now());
    unsentEntries_.insert(unsentEntries_.end(), request.entries.begin(), request.entries.end());
    std::erase_if(otherAgents_, [&](const auto &item) { return item.second.address == request.to; });
    const MemberRecord *record = table_.find(request.toName);
    const bool exchange = request.kind == kRequestKind<ViewRequest> && record != nullptr;
    if (exchange && record->domain != own_.domain) {
        noteUnreachable(record->domain);
    }
}

void DomainAgent::State::noteUnreachable(const FailureDomainName &domain)
{
    if (unreachable_.insert(domain).second) {
        log(LogEvent::DomainUnreachable, domain.value());
    }
}

void DomainAgent::State::expireRequests()
{
    std::vector<RequestId> expired;
    for (const auto &[id, request] : requests_) {
        if (now() - request.sentAt > kRequestTimeout) {
            expired.push_back(id);
        }
    }
    for (const RequestId &id : expired) {
        failed(id);
    }
}

Sender DomainAgent::State::self() const
{
    return {own_.name,        own_.incarnation, own_.peerAddress,        own_.domain,
            lease_.adopted(), table_.version(), lowHalf(table_.digest())};
}

DomainAgent::State::Pending *DomainAgent::State::send(const HostAddress &to, const ServerName &toName,
                                                      ControlRequest request)
{
    const RequestId id(++lastRequest_);
    Pending pending;
    pending.to = to;
    pending.toName = toName;
    pending.kind = request.index();
    pending.sentAt = now();
    pending.tableVersion = table_.version();
    effects_.requests.push_back({id, to, std::move(request)});
    return &requests_.emplace(id, std::move(pending)).first->second;
}

bool DomainAgent::State::waitingFor(std::size_t kind, const HostAddress &to) const
{
    return std::ranges::any_of(requests_,
                               [&](const auto &item) { return item.second.kind == kind && item.second.to == to; });
}

// Records and entries

bool DomainAgent::State::mergeRecord(const MemberRecord &record)
{
    if (record.name == own_.name) {
        if (record.incarnation == own_.incarnation) {
            noteOwnRevision(record.revision, record.up);
        } else if (record.revision > own_.revision) {
            meetNamesake(record.revision);
        }
        return false;
    }
    const MemberRecord *known = table_.find(record.name);
    const bool wasUp = known != nullptr && known->up;
    if (!table_.merge(record)) {
        return false;
    }
    effects_.membersChanged = true;
    if (agent_ && record.domain == own_.domain) {
        heardAt_[record.name] = now();
        if (record.up != wasUp) {
            log(record.up ? LogEvent::MemberUp : LogEvent::MemberDown, record.name.value());
        }
    }
    return true;
}

DomainAgent::State::Changes DomainAgent::State::mergeAll(const std::vector<MemberRecord> &records,
                                                         const std::vector<PayloadEntry> &entries)
{
    Changes changes;
    for (const MemberRecord &record : records) {
        if (mergeRecord(record)) {
            changes.first.push_back(record);
        }
    }
    for (const PayloadEntry &entry : entries) {
        if (table_.merge(entry, now())) {
            changes.second.push_back(entry);
            effects_.receivedEntries.push_back(entry);
        }
    }
    return changes;
}

void DomainAgent::State::noteOwnRevision(std::uint64_t revision, bool up)
{
    if (revision > own_.revision) {
        meetNamesake(revision);
    } else if (revision == own_.revision && !up) {
        bumpOwnRecord();
    }
}

void DomainAgent::State::meetNamesake(std::uint64_t revision)
{
    if (superseded_) {
        return;
    }
    if (stopped_) {
        // Another process was started under this name in the meantime.
        superseded_ = true;
        lease_.revoke();
        standDown("replaced by another process");
        return;
    }
    // A process that was not stopped is the newer one and replaces the record of its predecessor.
    own_.revision = ((revision >> 32U) + 1) << 32U;
    bumpOwnRecord();
    exchangeNow_ = true;
}

void DomainAgent::State::bumpOwnRecord()
{
    if (superseded_) {
        return;
    }
    ++own_.revision;
    table_.merge(own_);
    announced_ = false;
    effects_.membersChanged = true;
}

void DomainAgent::State::passOn(const Sender &from, const Changes &changes)
{
    if (changes.first.empty() && changes.second.empty()) {
        return;
    }
    if (agent_) {
        const bool draining = std::ranges::any_of(changes.first, [](const auto &record) { return record.draining; });
        urgent_ = urgent_ || draining || !changes.second.empty();
        exchangeNow_ = exchangeNow_ || draining || !changes.second.empty();
    } else if (!knownAgent_.value().empty() && from.name != knownAgent_ && knownAgent_ != own_.name) {
        Pending *request =
            send(agentAddress_, knownAgent_, Announce{self(), changes.first, changes.second, std::nullopt});
        request->entries = changes.second;
    }
}

void DomainAgent::State::noteVersion(const Sender &from)
{
    silentSince_.erase(from.name);
    if (from.version > knownVersion() && !waitingFor(kRequestKind<ConfigurationRequest>, from.address)) {
        send(from.address, from.name, ConfigurationRequest{lease_.adopted()});
    }
}

void DomainAgent::State::noteView(const Sender &from)
{
    std::uint64_t &fetched = fetchedUpTo_[from.incarnation];
    if (from.viewDigest == lowHalf(table_.digest())) {
        fetched = std::max(fetched, from.viewVersion);
    }
    if (from.viewVersion > fetched && !waitingFor(kRequestKind<ViewRequest>, from.address)) {
        send(from.address, from.name, ViewRequest{self(), from.incarnation, fetched, {}, {}});
    }
}

void DomainAgent::State::noteAgentOf(const FailureDomainName &domain, const ServerName &agent,
                                     const HostAddress &address)
{
    if (agent.value().empty()) {
        return;
    }
    if (domain != own_.domain) {
        otherAgents_[domain] = {agent, address};
    } else if (!agent_ && agent != own_.name && now() - lastContact_ > kRoundLength * 2) {
        knownAgent_ = agent;
        agentAddress_ = address;
    }
}

void DomainAgent::State::publish(const PayloadEntry &entry)
{
    if (table_.merge(entry, now())) {
        unsentEntries_.push_back(entry);
        flushEntries();
    }
}

void DomainAgent::State::flushEntries()
{
    if (unsentEntries_.empty()) {
        return;
    }
    if (agent_) {
        urgent_ = true;
        exchangeNow_ = true;
        unsentEntries_.clear();
    } else if (!knownAgent_.value().empty() && !waitingFor(kRequestKind<Announce>, agentAddress_)) {
        const std::vector<PayloadEntry> entries = std::exchange(unsentEntries_, {});
        send(agentAddress_, knownAgent_, Announce{self(), {}, entries, std::nullopt})->entries = entries;
    }
}

void DomainAgent::State::setLocalState(bool draining, int headroom)
{
    if (draining != own_.draining) {
        own_.draining = draining;
        own_.headroom = headroom;
        bumpOwnRecord();
        urgent_ = true;
        exchangeNow_ = true;
        if (!agent_ && !knownAgent_.value().empty()) {
            announceTo({knownAgent_, agentAddress_});
        }
        return;
    }
    const bool muchChanged = 2 * std::abs(headroom - own_.headroom) > own_.headroom;
    if (muchChanged && now() >= nextHeadroom_) {
        nextHeadroom_ = now() + kHeadroomInterval;
        own_.headroom = headroom;
        bumpOwnRecord();
        announced_ = true; // Not urgent: the next poll shows that the record is out of date.
    }
}

// Requests of peers

const PollOrigin *DomainAgent::State::originOf(const Poll &poll)
{
    if (poll.origin) {
        if (origins_.size() >= kMaxOrigins) {
            origins_.clear(); // Senders introduce themselves again.
        }
        origins_[poll.originTag] = *poll.origin;
    }
    const auto found = origins_.find(poll.originTag);
    return found == origins_.end() ? nullptr : &found->second;
}

ControlResponse DomainAgent::State::on(const Poll &poll)
{
    PollResponse response;
    response.incarnation = own_.incarnation;
    const PollOrigin *origin = originOf(poll);
    if (origin == nullptr) {
        response.originUnknown = true;
    } else if (origin->domain == own_.domain && origin->name != own_.name) {
        takePoll(PollOrigin(*origin), poll, response);
    }
    response.revision = own_.revision;
    response.adopted = lease_.adopted();
    response.counts = lease_.counts(now());
    response.leaseRemaining = wholeMillis(lease_.remaining(now()));
    response.sentAt = {std::floor(now().value)};
    if (!superseded_ && (poll.knownRevision != own_.revision || !poll.knownUp)) {
        response.record = own_;
    }
    return response;
}

void DomainAgent::State::takePoll(const PollOrigin &origin, const Poll &poll, PollResponse &response)
{
    const Sender from{origin.name,  origin.incarnation, origin.address, origin.domain,
                      poll.version, poll.viewVersion,   poll.viewDigest};
    notePollOfAgent(origin, poll);
    noteVersion(from);
    noteView(from);
    // Polls that arrived while this process was stopped don't show that it is still the one known under its name.
    bool sentSinceStop = !stopped_;
    if (poll.lease && poll.lease->receiver == lowHalf(own_.incarnation.value())) {
        sentSinceStop = sentSinceStop || poll.lease->echo > resumedAt_;
        lease_.grantRemainder(poll.lease->echo, poll.lease->remaining, poll.version, now());
    }
    if (poll.group != 0) {
        const RelayGroup::Begin begin = relay_.begin(origin, poll, now());
        response.groupUnknown = begin == RelayGroup::Begin::UnknownGroup;
        if (begin == RelayGroup::Begin::Started) {
            startRelay(poll);
        }
    }
    noteOwnRevision(poll.knownRevision, poll.knownUp);
    if (sentSinceStop && poll.knownUp && poll.knownRevision == own_.revision) {
        announced_ = true;
        stopped_ = false;
    }
}

ControlResponse DomainAgent::State::on(const Announce &announce)
{
    if (announce.report && agent_) {
        if (const auto *members = relayReports_.membersOf(announce.report->group)) {
            takeResponses(relayReports_.expand(*announce.report, *members));
        }
    }
    if (!announce.from) {
        return AnnounceResponse{};
    }
    noteVersion(*announce.from);
    passOn(*announce.from, mergeAll(announce.records, announce.entries));
    return AnnounceResponse{self(), wholeMillis(lease_.remaining(now())), knownAgent_,
                            agent_ ? own_.peerAddress : agentAddress_};
}

ControlResponse DomainAgent::State::on(const ViewRequest &request)
{
    noteVersion(request.from);
    // Views are exchanged by agents; a new process asks for the view without giving records.
    if (request.from.domain != own_.domain && !request.records.empty()) {
        noteAgentOf(request.from.domain, request.from.name, request.from.address);
    }
    passOn(request.from, mergeAll(request.records, request.entries));
    const std::uint64_t since = request.table == own_.incarnation ? request.since : 0;
    ViewDifference difference{self(), knownAgent_, agent_ ? own_.peerAddress : agentAddress_, {}, {}};
    for (const MemberRecord &record : table_.recordsSince(since)) {
        if (std::ranges::count(request.records, record) == 0) {
            difference.records.push_back(record);
        }
    }
    for (const PayloadEntry &entry : table_.entriesSince(since)) {
        if (std::ranges::count(request.entries, entry) == 0) {
            difference.entries.push_back(entry);
        }
    }
    return difference;
}

ControlResponse DomainAgent::State::on(const LeaseRequest &request)
{
    noteVersion(request.from);
    return LeaseResponse{self(), wholeMillis(lease_.remaining(now()))};
}

ControlResponse DomainAgent::State::on(const ConfigurationRequest &request)
{
    if (lease_.adopted() <= request.have) {
        return ConfigurationText{lease_.adopted(), {}};
    }
    return ConfigurationText{lease_.adopted(), text_};
}

// Responses of peers

void DomainAgent::State::receive(const Pending &request, const PollResponse &response)
{
    // What the poller knows itself is left out of the response. A process under another name at this address is told
    // by its incarnation.
    PollResponse full = response;
    full.name = request.toName;
    full.round = request.round;
    introducedTo_[full.name] = full.originUnknown ? 0 : request.originTag;
    echoes_[full.name] = {full.incarnation, full.sentAt, now()};
    lease_.grantRemainder(request.sentAt, full.leaseRemaining, full.adopted, now());
    if (full.adopted > knownVersion() && !waitingFor(kRequestKind<ConfigurationRequest>, request.to)) {
        send(request.to, request.toName, ConfigurationRequest{lease_.adopted()});
    }
    if (full.record && full.record->name == full.name) {
        mergeRecord(*full.record);
    }
    if (request.group != 0) {
        relayReports_.answered(request.toName, request.group, !response.groupUnknown);
    }
    relay_.add(full);
    sendRelayReport();
    takeResponses({full});
}

void DomainAgent::State::receive(const Pending &request, const AnnounceResponse &response)
{
    if (request.group != 0) {
        relay_.acknowledged(request.group, request.round);
    }
    if (!response.from) {
        return;
    }
    lease_.grantRemainder(request.sentAt, response.leaseRemaining, response.from->version, now());
    noteVersion(*response.from);
    noteAgentOf(response.from->domain, response.agent, response.agentAddress);
    const bool polled = now() - lastContact_ <= kRoundLength * 2;
    if (agent_ ? response.from->domain == own_.domain : stopped_ || !polled) {
        noteView(*response.from);
    }
}

void DomainAgent::State::receive(const Pending &request, const ViewDifference &response)
{
    noteVersion(response.from);
    noteAgentOf(response.from.domain, response.agent, response.agentAddress);
    const Changes changes = mergeAll(response.records, response.entries);
    std::uint64_t &fetched = fetchedUpTo_[response.from.incarnation];
    fetched = std::max(fetched, response.from.viewVersion);
    if (response.from.domain != own_.domain) {
        if (request.table == response.from.incarnation) {
            pushedUpTo_[request.table] = request.tableVersion;
        }
        unreachable_.erase(response.from.domain);
        if (agent_) {
            passOn(response.from, changes);
        }
    }
}

void DomainAgent::State::receive(const Pending &request, const LeaseResponse &response)
{
    lease_.grantRemainder(request.sentAt, response.leaseRemaining, response.from.version, now());
    noteVersion(response.from);
}

void DomainAgent::State::receive(const Pending & /*request*/, const ConfigurationText &response)
{
    if (!response.text.empty()) {
        offer(response.version, response.text);
    }
}

// Agent role

std::vector<ServerName> DomainAgent::State::hashOrder() const
{
    std::vector<ServerName> names = adoption_.roster();
    if (std::ranges::count(names, own_.name) == 0) {
        std::set<ServerName> known(names.begin(), names.end());
        for (const MemberRecord &record : table_.recordsOf(own_.domain)) {
            known.insert(record.name);
        }
        names.assign(known.begin(), known.end());
    }
    const std::uint64_t seed = stableHash(own_.domain.value());
    std::ranges::sort(names, {}, [seed](const ServerName &name) { return stableHash(name.value(), seed); });
    return names;
}

std::size_t DomainAgent::State::rank(const ServerName &name) const
{
    const std::vector<ServerName> order = hashOrder();
    return static_cast<std::size_t>(std::ranges::find(order, name) - order.begin());
}

int DomainAgent::State::takeoverRounds() const
{
    int before = 0;
    for (const ServerName &name : hashOrder()) {
        if (name == own_.name) {
            break;
        }
        const MemberRecord *record = table_.find(name);
        // A roster member that was never heard of may be running; one that is down or silent is not waited for.
        const bool absent = (record != nullptr && !record->up) || silentSince_.contains(name);
        before += absent ? 0 : 1;
    }
    return kTakeoverRounds * (before + 1);
}

/** Whether this process stays agent though another one polls. The order is the same for both. */
bool DomainAgent::State::outranks(const PollOrigin &origin, const Poll &poll) const
{
    const bool fresh = lease_.valid(now());
    if (fresh != poll.fresh) {
        return fresh;
    }
    if (platform_.term() != poll.term) {
        return platform_.term() > poll.term;
    }
    return rank(own_.name) < rank(origin.agent);
}

void DomainAgent::State::notePollOfAgent(const PollOrigin &origin, const Poll &poll)
{
    if (origin.agent == own_.name || (agent_ && outranks(origin, poll))) {
        return;
    }
    if (agent_) {
        standDown("polled by " + origin.agent.value());
    }
    platform_.noteTerm(poll.term);
    knownAgent_ = origin.agent;
    agentAddress_ = origin.agentAddress;
    lastContact_ = now();
    // An agent that can't make this process fresh doesn't keep others from trying.
    if (poll.fresh || lease_.valid(now())) {
        lastPoll_ = now();
    }
}

void DomainAgent::State::considerTakeover()
{
    const Millis silence = now() - lastPoll_;
    if (agent_ || superseded_ || silence < kRoundLength * kTakeoverRounds) {
        return;
    }
    if (silence >= kRoundLength * takeoverRounds()) {
        startAgent();
    }
}

void DomainAgent::State::startAgent()
{
    agent_ = true;
    knownAgent_ = own_.name;
    announced_ = true;
    nextRound_ = now();
    nextExchange_ = now();
    tookOver_ = true;
    for (const MemberRecord &record : table_.recordsOf(own_.domain)) {
        heardAt_[record.name] = now();
    }
    platform_.start();
    log(LogEvent::AgentStarted, own_.domain.value());
}

void DomainAgent::State::standDown(const std::string &reason)
{
    if (!agent_) {
        return;
    }
    agent_ = false;
    knownAgent_ = ServerName();
    lastPoll_ = now();
    platform_.stop();
    log(LogEvent::AgentStopped, reason);
}

// Rounds

AdoptionReport DomainAgent::State::ownReport() const
{
    return {own_.name, own_.incarnation, lease_.adopted(), lease_.counts(now())};
}

void DomainAgent::State::startRound()
{
    markSilentMembersDown();
    urgent_ = false;
    roundSentAt_ = now();
    nextRound_ = now() + kRoundLength;
    majorityAnswered_ = false;
    const std::uint64_t round = rounds_.start(now());
    const AdoptionReport report = ownReport();
    rounds_.add(round, report);
    adoption_.report(report, now(), now());
    sendPolls(planRound());
    noteRound(round);
}

void DomainAgent::State::markSilentMembersDown()
{
    for (const auto &[name, heardAt] : heardAt_) {
        if (name != own_.name && now() - heardAt > kRoundLength * kDownRounds && table_.markDown(name)) {
            effects_.membersChanged = true;
            log(LogEvent::MemberDown, name.value());
        }
    }
}

std::vector<PollTarget> DomainAgent::State::planRound() const
{
    const std::vector<ServerName> &roster = adoption_.roster();
    const std::set<ServerName> named(roster.begin(), roster.end());
    std::vector<MemberRecord> records = table_.recordsOf(own_.domain);
    std::erase_if(records, [&](const MemberRecord &record) {
        return record.name == own_.name || (!record.up && !named.contains(record.name));
    });
    const std::uint64_t seed = stableHash(own_.domain.value());
    std::ranges::sort(records, {},
                      [seed](const MemberRecord &record) { return stableHash(record.name.value(), seed); });
    std::vector<PollCandidate> candidates;
    for (const MemberRecord &record : records) {
        candidates.push_back({record.name, record.peerAddress, record.up && !silentSince_.contains(record.name)});
    }
    return PollPlan::make(candidates);
}

void DomainAgent::State::sendPolls(const std::vector<PollTarget> &targets)
{
    Poll poll;
    const PollOrigin origin = originFor(own_.name, own_.peerAddress);
    poll.round = rounds_.current();
    poll.term = platform_.term();
    poll.fresh = lease_.valid(now());
    std::map<std::uint32_t, std::vector<RelayTarget>> groups;
    for (const PollTarget &target : targets) {
        poll.group = 0;
        poll.relayTo.clear();
        if (!target.relayTo.empty()) {
            poll.group = relayReports_.groupOf(target.relayTo);
            groups.emplace(poll.group, target.relayTo);
            if (!relayReports_.knows(target.member.name, poll.group)) {
                poll.relayTo = target.relayTo;
            }
        }
        sendPoll(origin, poll, target.member);
    }
    relayReports_.setGroups(std::move(groups));
}

PollOrigin DomainAgent::State::originFor(const ServerName &agent, const HostAddress &address) const
{
    return {own_.name, own_.incarnation, own_.peerAddress, own_.domain, agent, address};
}

void DomainAgent::State::sendPoll(const PollOrigin &origin, Poll poll, const RelayTarget &target)
{
    poll.version = lease_.adopted();
    poll.viewVersion = table_.version();
    poll.viewDigest = lowHalf(table_.digest());
    poll.originTag = tagOf(origin);
    if (introducedTo_[target.name] != poll.originTag) {
        poll.origin = origin;
    }
    if (const MemberRecord *record = table_.find(target.name)) {
        poll.knownRevision = record->revision;
        poll.knownUp = record->up;
    }
    const auto echo = echoes_.find(target.name);
    if (echo != echoes_.end() && lease_.valid(now())) {
        const Millis remaining = wholeMillis(lease_.expiry() - echo->second.receivedAt);
        poll.lease = EchoedLease{lowHalf(echo->second.incarnation.value()), echo->second.sentAt, remaining};
    }
    const std::uint64_t round = poll.round;
    const std::uint32_t group = poll.group;
    const std::uint32_t tag = poll.originTag;
    Pending *request = send(target.address, target.name, std::move(poll));
    request->round = round;
    request->group = group;
    request->originTag = tag;
}

void DomainAgent::State::startRelay(const Poll &poll)
{
    const PollOrigin origin = originFor(relay_.origin().agent, relay_.origin().agentAddress);
    Poll relayed;
    relayed.round = poll.round;
    relayed.term = poll.term;
    relayed.fresh = poll.fresh;
    for (const RelayTarget &target : relay_.members()) {
        sendPoll(origin, relayed, target);
    }
}

void DomainAgent::State::sendRelayReport()
{
    if (std::optional<RelayReport> report = relay_.takeReport(own_.incarnation, now())) {
        const std::uint64_t round = report->round;
        const std::uint32_t group = report->group;
        Pending *request = send(relay_.origin().agentAddress, relay_.origin().agent,
                                Announce{std::nullopt, {}, {}, std::move(report)});
        request->round = round;
        request->group = group;
    }
}

void DomainAgent::State::takeResponses(const std::vector<PollResponse> &responses)
{
    for (const PollResponse &response : responses) {
        if (const std::optional<TimePoint> sentAt = rounds_.sentAt(response.round)) {
            takeResponse(response, *sentAt);
        }
    }
    if (!responses.empty()) {
        noteRound(responses.front().round);
    }
}

void DomainAgent::State::takeResponse(const PollResponse &response, TimePoint roundSentAt)
{
    if (response.record && response.record->name == response.name) {
        mergeRecord(*response.record);
    }
    const MemberRecord *record = table_.find(response.name);
    if (record == nullptr || record->incarnation != response.incarnation) {
        return;
    }
    heardAt_[response.name] = now();
    silentSince_.erase(response.name);
    table_.setAdopted(response.name, response.adopted);
    if (response.adopted > knownVersion() && !waitingFor(kRequestKind<ConfigurationRequest>, record->peerAddress)) {
        send(record->peerAddress, record->name, ConfigurationRequest{lease_.adopted()});
    }
    const AdoptionReport report{response.name, response.incarnation, response.adopted, response.counts};
    if (rounds_.add(response.round, report)) {
        adoption_.report(report, roundSentAt, now());
    }
}

void DomainAgent::State::noteRound(std::uint64_t round)
{
    const std::optional<TimePoint> sentAt = rounds_.sentAt(round);
    if (!sentAt) {
        return;
    }
    const std::vector<AdoptionReport> &reports = rounds_.reports(round);
    if (round == rounds_.current()) {
        majorityAnswered_ = isMajority(reports.size(), adoption_.roster().size());
    }
    if (round > grantedRound_ && adoption_.majorityFresh(reports)) {
        grantedRound_ = round;
        lease_.grantFrom(*sentAt, lease_.adopted(), now());
        // Members get the lease with the next poll only, and theirs may end before a whole round has passed.
        urgent_ = urgent_ || tookOver_;
        tookOver_ = false;
    }
}

// Without an agent

void DomainAgent::State::seekPeers()
{
    if (!lease_.valid(now()) && !superseded_) {
        requestLease();
    }
    if (agent_ && rival_) {
        announceTo(*std::exchange(rival_, std::nullopt));
    }
    const bool polled = now() - lastContact_ <= kRoundLength * 2;
    if (agent_ || superseded_ || (polled && announced_)) {
        return;
    }
    if (!knownAgent_.value().empty() && !silentSince_.contains(knownAgent_)) {
        announceTo({knownAgent_, agentAddress_});
    }
    if (polled) {
        return;
    }
    for (const std::optional<Contact> &contact : {randomMember(own_.domain), randomSeed()}) {
        if (contact) {
            announceTo(*contact);
        }
    }
}

void DomainAgent::State::announceTo(const Contact &contact)
{
    if (!waitingFor(kRequestKind<Announce>, contact.address)) {
        send(contact.address, contact.name, Announce{self(), {own_}, {}, std::nullopt});
    }
}

void DomainAgent::State::requestLease()
{
    const bool ownDomain = random_.below(2) == 0;
    const auto contact = randomMember(ownDomain ? std::optional(own_.domain) : std::nullopt);
    if (contact && !waitingFor(kRequestKind<LeaseRequest>, contact->address)) {
        send(contact->address, contact->name, LeaseRequest{self()});
    }
}

std::optional<DomainAgent::State::Contact>
DomainAgent::State::randomMember(const std::optional<FailureDomainName> &domain)
{
    std::vector<MemberRecord> records = domain ? table_.recordsOf(*domain) : table_.records();
    std::erase_if(records, [&](const MemberRecord &record) { return record.name == own_.name || !record.up; });
    if (records.empty()) {
        return std::nullopt;
    }
    const MemberRecord &chosen = records[random_.below(records.size())];
    return Contact{chosen.name, chosen.peerAddress};
}

std::optional<DomainAgent::State::Contact> DomainAgent::State::randomSeed()
{
    std::vector<HostAddress> seeds = settings_.seeds;
    std::erase(seeds, own_.peerAddress);
    if (seeds.empty()) {
        return std::nullopt;
    }
    return Contact{ServerName(), seeds[random_.below(seeds.size())]};
}

// Other domains

void DomainAgent::State::exchangeViews()
{
    if (!agent_ || (now() < nextExchange_ && !exchangeNow_)) {
        return;
    }
    nextExchange_ = now() + kExchangeInterval;
    exchangeNow_ = false;
    std::set<FailureDomainName> domains;
    for (const auto &[domain, roster] : rosters_) {
        domains.insert(domain);
    }
    for (const MemberRecord &record : table_.records()) {
        domains.insert(record.domain);
    }
    domains.erase(own_.domain);
    for (const FailureDomainName &domain : domains) {
        exchangeWith(domain);
    }
}

void DomainAgent::State::exchangeWith(const FailureDomainName &domain)
{
    // The other agent is preferred, as a random member would have to be given the whole table each time.
    const auto known = otherAgents_.find(domain);
    std::optional<Contact> contact = known != otherAgents_.end() ? std::optional(known->second) : randomMember(domain);
    if (!contact) {
        noteUnreachable(domain);
        contact = randomSeed();
        if (contact) {
            announceTo(*contact);
        }
        return;
    }
    if (waitingFor(kRequestKind<ViewRequest>, contact->address)) {
        return;
    }
    const MemberRecord *record = table_.find(contact->name);
    const Incarnation incarnation = record != nullptr ? record->incarnation : Incarnation();
    const auto fetched = fetchedUpTo_.find(incarnation);
    const auto pushed = pushedUpTo_.find(incarnation);
    const std::uint64_t pushedUpTo = pushed == pushedUpTo_.end() ? 0 : pushed->second;
    Pending *request = send(contact->address, contact->name,
                            ViewRequest{self(), incarnation, fetched == fetchedUpTo_.end() ? 0 : fetched->second,
                                        table_.recordsSince(pushedUpTo), table_.entriesSince(pushedUpTo)});
    request->table = incarnation;
}

// Configuration

ConfigVersion DomainAgent::State::knownVersion() const
{
    const ConfigVersion offered = offered_.empty() ? ConfigVersion() : offered_.rbegin()->first;
    return std::max({lease_.adopted(), refused_, offered});
}

void DomainAgent::State::offer(ConfigVersion version, const std::string &text)
{
    if (version > knownVersion()) {
        offered_.emplace(version, text);
        effects_.install.push_back({version, text});
    }
}

void DomainAgent::State::configurationInstalled(ConfigVersion version, const Rosters &rosters)
{
    const auto found = offered_.find(version);
    if (found == offered_.end()) {
        return;
    }
    text_ = std::move(found->second);
    offered_.erase(offered_.begin(), std::next(found));
    rosters_ = rosters;
    const auto roster = rosters.find(own_.domain);
    adoption_.setRoster(version, roster == rosters.end() ? std::vector<ServerName>() : roster->second);
    lease_.adopt(version, now());
    own_.adopted = version;
    table_.setAdopted(own_.name, version);
    urgent_ = true;
    exchangeNow_ = true;
    log(LogEvent::ConfigurationAdopted, std::to_string(version.value()));
}

void DomainAgent::State::configurationRefused(ConfigVersion version)
{
    if (offered_.erase(version) > 0) {
        refused_ = std::max(refused_, version);
        log(LogEvent::ConfigurationRejected, std::to_string(version.value()));
    }
}

void DomainAgent::State::callPlatform()
{
    PlatformLink::Needs needs;
    needs.known = knownVersion();
    needs.leaseExpiry = lease_.expiry();
    needs.mayClaim = majorityAnswered_ || adoption_.roster().empty();
    if (agent_) {
        if (const std::optional<ConfigVersion> version = adoption_.confirmable()) {
            needs.confirm = Confirmation{*version, adoption_.rosterOf(*version)};
        }
    }
    if (!unreachable_.empty()) {
        needs.lost = *std::next(unreachable_.begin(), static_cast<std::ptrdiff_t>(random_.below(unreachable_.size())));
    }
    for (PlatformCall &call : platform_.tick(needs, now())) {
        effects_.platformCalls.push_back(std::move(call));
    }
}

void DomainAgent::State::platformCompleted(PlatformCallId id, const PlatformResult &result)
{
    const PlatformLink::News news = platform_.completed(id, result, now());
    if (news.available) {
        log(*news.available ? LogEvent::PlatformAvailable : LogEvent::PlatformUnavailable, own_.domain.value());
    }
    if (news.configuration) {
        offer(news.configuration->version, news.configuration->text);
        if (news.readSentAt) {
            lease_.grantFrom(*news.readSentAt, news.configuration->version, now());
        }
    }
    if (news.holder) {
        noteHolder(*news.holder);
    }
    if (news.confirmed) {
        adoption_.setConfirmed(news.confirmed->version, news.confirmed->roster);
        if (news.wroteConfirmation) {
            log(LogEvent::ConfigurationConfirmed, std::to_string(news.confirmed->version.value()));
        }
    }
}

void DomainAgent::State::noteHolder(const RoleHolder &holder)
{
    // Finds processes again whose addresses all changed while they were out of reach.
    if (holder.domain == own_.domain) {
        rival_ = Contact{holder.name, holder.address};
    } else {
        otherAgents_[holder.domain] = {holder.name, holder.address};
    }
}

void DomainAgent::State::noteLease()
{
    const bool fresh = lease_.valid(now());
    if (fresh != wasFresh_) {
        log(fresh ? LogEvent::LeaseRegained : LogEvent::LeaseLost, std::to_string(lease_.adopted().value()));
    }
    wasFresh_ = fresh;
}

} // namespace Hibiscus
