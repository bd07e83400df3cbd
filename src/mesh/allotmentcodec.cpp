#include "mesh/allotmentcodec.h"

#include "core/jsondocument.h"

#include <array>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

constexpr const char *kPartition = "partition";
constexpr const char *kHolder = "holder";
constexpr const char *kIncarnation = "incarnation";
constexpr const char *kSequence = "sequence";
constexpr const char *kTeams = "teams";
constexpr const char *kLender = "lender";
/** More than any deployment has. */
constexpr std::size_t kMaximumTeams = 10000;
/** Largest number of tokens, or of milliseconds, that is taken from another process. */
constexpr double kLargestNumber = 1e9;

/** A team's name and the numbers that follow it in its row. */
template<std::size_t count>
struct Row {
    TeamName team;
    std::array<double, count> numbers{};
};

template<std::size_t count>
Json encodeRow(const Row<count> &row)
{
    Json json = Json::array({row.team.value()});
    for (const double number : row.numbers) {
        json.push_back(number);
    }
    return json;
}

std::optional<double> readNumber(const Json &json)
{
    if (!json.is_number()) {
        return std::nullopt;
    }
    const auto number = json.get<double>();
    return number >= 0 && number <= kLargestNumber ? std::optional(number) : std::nullopt;
}

template<std::size_t count>
std::optional<Row<count>> readRow(const Json &json)
{
    if (!json.is_array() || json.size() != count + 1 || !json[0].is_string()) {
        return std::nullopt;
    }
    const auto team = TeamName::parse(json[0].get_ref<const std::string &>());
    if (!team) {
        return std::nullopt;
    }
    Row<count> row{*team, {}};
    for (std::size_t i = 0; i < count; ++i) {
        const auto number = readNumber(json[i + 1]);
        if (!number) {
            return std::nullopt;
        }
        row.numbers[i] = *number;
    }
    return row;
}

/** Calls @p add with each row of the field "teams"; false if one can't be read. */
template<std::size_t count, class Add>
bool readRows(const Json &json, Add add)
{
    const auto teams = json.find(kTeams);
    if (teams == json.end() || !teams->is_array() || teams->size() > kMaximumTeams) {
        return false;
    }
    for (const Json &item : *teams) {
        const auto row = readRow<count>(item);
        if (!row) {
            return false;
        }
        add(*row);
    }
    return true;
}

std::optional<std::uint64_t> readUnsigned(const Json &json, const char *field)
{
    const auto found = json.find(field);
    return found != json.end() && found->is_number_unsigned() ? std::optional(found->get<std::uint64_t>())
                                                              : std::nullopt;
}

std::optional<HostAddress> readAddress(const Json &json, const char *field)
{
    const auto found = json.find(field);
    return found != json.end() && found->is_string() ? HostAddress::parse(found->get_ref<const std::string &>())
                                                     : std::nullopt;
}

std::optional<Json> readObject(std::string_view text)
{
    auto json = readJson(text);
    return json && json->is_object() ? std::move(json) : std::nullopt;
}

constexpr std::size_t kDemandNumbers = 7;
constexpr std::size_t kGrantNumbers = 5;

} // namespace

std::string serializeAllotmentRequest(const AllotmentRequest &request)
{
    const AllotmentReport &report = request.report;
    Json teams = Json::array();
    for (const AllotmentDemand &team : report.teams) {
        teams.push_back(encodeRow<kDemandNumbers>({team.team,
                                                   {team.demand.perSecond, team.usual.perSecond, team.stock,
                                                    team.waiting, team.wanted, team.returned, team.share}}));
    }
    return writeJson({{kPartition, request.partition.value()},
                      {kHolder, report.holder.value()},
                      {kIncarnation, report.incarnation.value()},
                      {kSequence, report.sequence},
                      {kTeams, std::move(teams)}});
}

std::optional<AllotmentRequest> parseAllotmentRequest(std::string_view text)
{
    const auto json = readObject(text);
    if (!json) {
        return std::nullopt;
    }
    const auto partition = readUnsigned(*json, kPartition);
    const auto holder = readAddress(*json, kHolder);
    const auto incarnation = readUnsigned(*json, kIncarnation);
    const auto sequence = readUnsigned(*json, kSequence);
    if (!partition || *partition >= kPartitions || !holder || !incarnation || !sequence) {
        return std::nullopt;
    }
    AllotmentRequest request{Partition(static_cast<unsigned>(*partition)),
                             {*holder, Incarnation(*incarnation), *sequence, {}}};
    const bool isValid = readRows<kDemandNumbers>(*json, [&](const Row<kDemandNumbers> &row) {
        const auto &[demand, usual, stock, waiting, wanted, returned, share] = row.numbers;
        request.report.teams.push_back(
            {row.team, RequestRate{demand}, RequestRate{usual}, stock, waiting, wanted, returned, share});
    });
    return isValid ? std::optional(std::move(request)) : std::nullopt;
}

std::string serializeAllotmentAnswer(const AllotmentAnswer &answer)
{
    Json teams = Json::array();
    for (const AllotmentGrant &team : answer.teams) {
        teams.push_back(encodeRow<kGrantNumbers>(
            {team.team, {team.tokens, team.share, team.ownBurst, team.usedShare, team.retryAfter.value}}));
    }
    return writeJson({{kLender, answer.lender.value()}, {kTeams, std::move(teams)}});
}

std::optional<AllotmentAnswer> parseAllotmentAnswer(std::string_view text)
{
    const auto json = readObject(text);
    const auto lender = json ? readUnsigned(*json, kLender) : std::nullopt;
    if (!lender) {
        return std::nullopt;
    }
    AllotmentAnswer answer{Incarnation(*lender), {}};
    const bool isValid = readRows<kGrantNumbers>(*json, [&](const Row<kGrantNumbers> &row) {
        const auto &[tokens, share, ownBurst, usedShare, retryAfter] = row.numbers;
        answer.teams.push_back({row.team, tokens, share, ownBurst, usedShare, Millis{retryAfter}});
    });
    return isValid ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace Hibiscus
