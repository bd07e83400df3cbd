#include "daemon/crashreportcodec.h"

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

nlohmann::json toNumbers(const std::vector<Signature> &signatures)
{
    nlohmann::json numbers = nlohmann::json::array();
    for (const Signature &signature : signatures) {
        numbers.push_back(signature.value());
    }
    return numbers;
}

std::vector<Signature> toSignatures(const nlohmann::json &numbers)
{
    std::vector<Signature> signatures;
    for (const nlohmann::json &number : numbers) {
        signatures.emplace_back(number.get<std::uint64_t>());
    }
    return signatures;
}

} // namespace

PayloadEntry encodeCrashReport(const CrashReport &report, Incarnation publisher, std::uint64_t revision)
{
    const nlohmann::json value{
        {"reporter", report.id.reporter.value()}, {"sequence", report.id.sequence},       {"age", report.age.value},
        {"charged", toNumbers(report.charged)},   {"cleared", toNumbers(report.cleared)},
    };
    const std::string key = std::to_string(report.id.reporter.value()) + "-" + std::to_string(report.id.sequence) + "@"
        + std::to_string(publisher.value());
    return {kCrashTable, key, value.dump(), revision};
}

std::optional<CrashReport> decodeCrashReport(const PayloadEntry &entry)
{
    try {
        const nlohmann::json value = nlohmann::json::parse(entry.value);
        CrashReport report;
        report.id.reporter = Incarnation(value.at("reporter").get<std::uint64_t>());
        report.id.sequence = value.at("sequence").get<std::uint64_t>();
        report.age = Millis{value.at("age").get<double>()};
        report.charged = toSignatures(value.at("charged"));
        report.cleared = toSignatures(value.at("cleared"));
        return report;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Hibiscus
