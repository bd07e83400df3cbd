#include "exchange/directorymessage.h"

#include "core/contenthash.h"
#include "core/logevent.h"

#include <exception>

namespace Hibiscus
{

namespace
{

Json::Value encodeSignatures(const std::vector<Signature> &signatures)
{
    Json::Value list(Json::arrayValue);
    for (const Signature &signature : signatures) {
        list.append(Json::UInt64(signature.value()));
    }
    return list;
}

std::vector<Signature> decodeSignatures(const Json::Value &list)
{
    std::vector<Signature> signatures;
    for (const Json::Value &signature : list) {
        signatures.emplace_back(signature.asUInt64());
    }
    return signatures;
}

Json::Value encodeCrash(const CrashReport &report)
{
    Json::Value value(Json::objectValue);
    value["reporter"] = Json::UInt64(report.id.reporter.value());
    value["sequence"] = Json::UInt64(report.id.sequence);
    value["ageMs"] = report.age.value;
    value["charged"] = encodeSignatures(report.charged);
    value["cleared"] = encodeSignatures(report.cleared);
    return value;
}

CrashReport decodeCrash(const Json::Value &value)
{
    return {{Incarnation(value["reporter"].asUInt64()), value["sequence"].asUInt64()},
            Millis{value["ageMs"].asDouble()},
            decodeSignatures(value["charged"]),
            decodeSignatures(value["cleared"])};
}

} // namespace

Json::Value encodeDirectoryMessage(const DirectoryMessage &message)
{
    Json::Value value(Json::objectValue);
    value["sender"] = message.sender.value();
    value["configurationVersion"] = Json::UInt64(message.configurationRevision.number);
    value["configurationEra"] = Json::UInt64(message.configurationRevision.era);
    value["configurationDigest"] = Json::UInt64(message.configurationDigest);
    value["configuration"] = message.configuration;
    value["digest"] = Json::UInt64(message.digest);
    value["servers"] = Json::Value(Json::arrayValue);
    for (const DirectoryEntry &entry : message.servers) {
        Json::Value server(Json::objectValue);
        server["name"] = entry.registration.name.value();
        server["registration"] = serializeRegistration(entry.registration);
        server["revision"] = Json::UInt64(entry.revision.number);
        server["era"] = Json::UInt64(entry.revision.era);
        value["servers"].append(std::move(server));
    }
    value["crashes"] = Json::Value(Json::arrayValue);
    for (const CrashReport &report : message.crashes) {
        value["crashes"].append(encodeCrash(report));
    }
    return value;
}

std::optional<DirectoryMessage> decodeDirectoryMessage(const Json::Value &value)
{
    if (!value.isObject()) {
        return std::nullopt;
    }
    try {
        DirectoryMessage message;
        message.sender = HostAddress(value["sender"].asString());
        message.configurationRevision = {value["configurationEra"].asUInt64(),
                                         value["configurationVersion"].asUInt64()};
        message.configurationDigest = value["configurationDigest"].asUInt64();
        message.configuration = value["configuration"].asString();
        message.digest = value["digest"].asUInt64();
        for (const Json::Value &server : value["servers"]) {
            const auto name = ServerName::parse(server["name"].asString());
            const auto registration = name ? parseRegistration(*name, server["registration"].asString()) : std::nullopt;
            if (!registration) {
                logEvent(LogEvent::RegistrationRejected, "registration in a message of another daemon",
                         {{"server", server["name"].asString()}, {"sender", message.sender.value()}});
                continue;
            }
            message.servers.push_back({*registration, {server["era"].asUInt64(), server["revision"].asUInt64()}});
        }
        for (const Json::Value &report : value["crashes"]) {
            message.crashes.push_back(decodeCrash(report));
        }
        return message;
    } catch (const std::exception &) {
        // jsoncpp throws on a field of another type; the caller replies with a JSON-RPC error.
        return std::nullopt;
    }
}

std::uint64_t configurationDigest(const std::string &text)
{
    return text.empty() ? 0 : stableHash(text);
}

std::uint64_t directoryDigest(const ServerDirectory &directory)
{
    std::uint64_t digest = 0;
    for (const auto &[name, entry] : directory.entries()) {
        digest ^= stableHash(name.value() + serializeRegistration(entry.registration),
                             stableHash(std::to_string(entry.revision.era), entry.revision.number));
    }
    return digest;
}

} // namespace Hibiscus
