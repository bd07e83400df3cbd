#include "mesh/allotmentservice.h"

#include "core/chronotime.h"
#include "core/logevent.h"
#include "mesh/allotmentcodec.h"

#include <sstream>

namespace Hibiscus
{

namespace
{

constexpr Millis kTick{50};
/** Ticks from one search for silent holders to the next; reports start one as well. */
constexpr unsigned kLedgerTicks = 4;
constexpr Millis kConnectTimeout{100};
constexpr Millis kResponseTimeout{240};
constexpr const char *kProbeMethod = "GET";
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;

/** Daemons that may hold something. */
Daemons holdersOf(const ServerDirectory &directory)
{
    Daemons daemons;
    for (const auto &[name, entry] : directory.entries()) {
        if (entry.registration.state != ServerState::Left) {
            daemons[entry.registration.daemon] = entry.registration.incarnation;
        }
    }
    return daemons;
}

/** Daemons that may lend: not those that are about to end. */
Daemons lendersOf(const ServerDirectory &directory)
{
    Daemons daemons;
    for (const auto &[name, entry] : directory.entries()) {
        const ServerState state = entry.registration.state;
        if (state != ServerState::Left && state != ServerState::Detached) {
            daemons[entry.registration.daemon] = entry.registration.incarnation;
        }
    }
    return daemons;
}

HttpRequest makeRequest(const Partition &partition, const AllotmentReport &report)
{
    HttpRequest request{"POST", AllotmentService::kTarget, {}, serializeAllotmentRequest({partition, report})};
    request.headers.add("Content-Type", "application/json");
    return request;
}

std::optional<AllotmentAnswer> readAnswer(const HttpResult &result)
{
    return result && result->status == kStatusOk ? parseAllotmentAnswer(result->body) : std::nullopt;
}

HttpCallOptions callOptions()
{
    HttpCallOptions options;
    options.connectTimeout = kConnectTimeout;
    options.responseTimeout = kResponseTimeout;
    options.start = RequestStart::AtEnd;
    return options;
}

std::string teamLabel(const TeamName &team)
{
    std::string label;
    for (const char c : team.value()) {
        if (c == '"' || c == '\\') {
            label += '\\';
        }
        label += c;
    }
    return "team=\"" + label + "\"";
}

} // namespace

AllotmentService::AllotmentService(asio::io_context &context, HttpClient &client, const DaemonIdentity &self,
                                   const Clock &clock, RandomSource &random)
    : client_(client)
    , self_(self)
    , clock_(clock)
    , gate_(AllotmentHolder(self.peers, self.incarnation, clock, random), clock,
            [this](Partition partition, const AllotmentReport &report, const Reply &reply) {
                send(partition, report, reply);
            })
    , ledger_(self.incarnation, clock)
    , timer_(context)
{
}

void AllotmentService::admit(const TeamName &team, Callback callback)
{
    gate_.admit(team, std::move(callback));
}

void AllotmentService::giveBack(const TeamName &team)
{
    gate_.giveBack(team);
}

void AllotmentService::setTeams(const std::vector<Team> &teams, const ServerDirectory &directory)
{
    gate_.setTeams(teams);
    ledger_.setTeams(teams);
    setDirectory(directory);
    if (gate_.holder().hasLimits() && !isTicking_) {
        scheduleTick();
    }
}

void AllotmentService::setDirectory(const ServerDirectory &directory)
{
    if (!gate_.holder().hasLimits()) {
        return;
    }
    ledger_.setDaemons(holdersOf(directory));
    choice_.setDaemons(lendersOf(directory));
    useLenders();
}

/** Reports to the lenders that were chosen from now on. */
void AllotmentService::useLenders()
{
    for (unsigned number = 0; number < kPartitions; ++number) {
        const Partition partition(number);
        const std::optional<HostAddress> &lender = choice_.lender(partition);
        std::optional<HostAddress> &used = lenders_.at(number);
        if (used && lender && used != lender) {
            logEvent(LogEvent::AllotmentLenderChanged, "",
                     {{"partition", static_cast<std::int64_t>(number)},
                      {"lender", lender->value()},
                      {"formerLender", used->value()}});
            isSilent_.at(number) = false;
        }
        used = lender;
        gate_.setLender(partition, choice_.incarnation(partition));
    }
}

void AllotmentService::handle(HttpRequest request, HttpResponder respond)
{
    if (request.method == kProbeMethod) {
        respond({kStatusOk, {}, ""});
        return;
    }
    const auto message = parseAllotmentRequest(request.body.text());
    if (!message) {
        respond({kStatusBadRequest, {}, ""});
        return;
    }
    HttpResponse response{kStatusOk, {}, serializeAllotmentAnswer(ledger_.lend(message->partition, message->report))};
    response.headers.add("Content-Type", "application/json");
    respond(std::move(response));
}

void AllotmentService::send(Partition partition, const AllotmentReport &report, const Reply &reply)
{
    const std::optional<HostAddress> &lender = lenders_.at(partition.value());
    if (!lender) {
        reply(std::nullopt);
        return;
    }
    if (*lender == self_.peers) {
        choice_.recordAnswer(self_.peers, clock_.now());
        reply(ledger_.lend(partition, report));
        return;
    }
    const auto handleResult = [this, partition, reply, to = *lender](const HttpResult &result) {
        const std::optional<AllotmentAnswer> answer = readAnswer(result);
        noteContact(partition, to, answer.has_value());
        reply(answer);
        useLenders();
    };
    client_.send(*lender, makeRequest(partition, report), callOptions(), handleResult);
}

void AllotmentService::noteContact(Partition partition, const HostAddress &lender, bool answered)
{
    recordContact(lender, answered);
    bool &isSilent = isSilent_.at(partition.value());
    if (isSilent == !answered || lenders_.at(partition.value()) != lender) {
        return;
    }
    isSilent = !answered;
    logEvent(answered ? LogEvent::AllotmentLenderBack : LogEvent::AllotmentLenderSilent, "",
             {{"partition", static_cast<std::int64_t>(partition.value())}, {"lender", lender.value()}});
}

/** Asks daemons that may lend whether they answer. */
void AllotmentService::probe()
{
    for (const HostAddress &daemon : choice_.takeDueProbes(clock_.now())) {
        client_.send(daemon, {kProbeMethod, kTarget, {}, ""}, callOptions(), [this, daemon](const HttpResult &result) {
            recordContact(daemon, result && result->status == kStatusOk);
            useLenders();
        });
    }
}

void AllotmentService::recordContact(const HostAddress &daemon, bool answered)
{
    if (answered) {
        choice_.recordAnswer(daemon, clock_.now());
    } else {
        choice_.recordFailure(daemon, clock_.now());
    }
}

void AllotmentService::scheduleTick()
{
    isTicking_ = true;
    timer_.expires_after(toChrono(kTick));
    timer_.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void AllotmentService::tick()
{
    isTicking_ = false;
    if (!gate_.holder().hasLimits()) {
        return;
    }
    if (++ticks_ % kLedgerTicks == 0) {
        ledger_.tick();
    }
    probe();
    gate_.tick();
    scheduleTick();
}

std::string AllotmentService::exposition() const
{
    if (!gate_.holder().hasLimits()) {
        return {};
    }
    std::ostringstream out;
    out << "# TYPE hibiscus_team_requests_total counter\n";
    for (const auto &[team, counts] : gate_.counts()) {
        const std::string start = "hibiscus_team_requests_total{" + teamLabel(team) + ",result=";
        out << start << "\"admitted\"} " << counts.admitted << '\n';
        out << start << "\"over-allotment\"} " << counts.refused << '\n';
        out << start << "\"allotment-unknown\"} " << counts.unknown << '\n';
    }
    out << "# TYPE hibiscus_team_share gauge\n# TYPE hibiscus_team_used_share gauge\n";
    for (const auto &[team, stock] : gate_.holder().stocks()) {
        out << "hibiscus_team_share{" << teamLabel(team) << "} " << stock.share() << '\n';
        out << "hibiscus_team_used_share{" << teamLabel(team) << "} " << stock.usedShare() << '\n';
    }
    out << "# TYPE hibiscus_team_lent_demand gauge\n# TYPE hibiscus_team_reserved_share gauge\n";
    for (const auto &[team, ledger] : ledger_.teams()) {
        out << "hibiscus_team_lent_demand{" << teamLabel(team) << "} " << ledger.demand().perSecond << '\n';
        out << "hibiscus_team_reserved_share{" << teamLabel(team) << "} " << 1 - ledger.lendablePart() << '\n';
    }
    out << "# TYPE hibiscus_allotment_lender_silent gauge\n";
    for (unsigned number = 0; number < kPartitions; ++number) {
        const std::string lender = lenders_.at(number) ? lenders_.at(number)->value() : "";
        out << "hibiscus_allotment_lender_silent{partition=\"" << number << "\",lender=\"" << lender << "\"} "
            << (isSilent_.at(number) ? 1 : 0) << '\n';
    }
    return out.str();
}

} // namespace Hibiscus
