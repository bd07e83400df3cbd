#include "directory/serverregistration.h"

#include "core/jsondocument.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<std::pair<ServerState, const char *>, 4> kStateNames{{
    {ServerState::Ready, "ready"},
    {ServerState::Draining, "draining"},
    {ServerState::Detached, "detached"},
    {ServerState::Left, "left"},
}};
constexpr int kMaximumSlots = 1'000'000;

std::optional<ServerState> parseState(const std::string &text)
{
    for (const auto &[state, name] : kStateNames) {
        if (text == name) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view serverStateName(ServerState state)
{
    return kStateNames.at(static_cast<std::size_t>(state)).second;
}

std::string serializeRegistration(const ServerRegistration &registration)
{
    return writeJson({{"service", registration.service.value()},
                      {"domain", registration.domain.value()},
                      {"daemon", registration.daemon.value()},
                      {"incarnation", registration.incarnation.value()},
                      {"startedAt", registration.startedAt},
                      {"daemonStartedAt", registration.daemonStartedAt},
                      {"slots", registration.slots},
                      {"state", serverStateName(registration.state)}});
}

std::optional<ServerRegistration> parseRegistration(const ServerName &name, std::string_view text)
{
    const std::optional<Json> document = readJson(text);
    if (!document || !document->is_object()) {
        return std::nullopt;
    }
    const Json &value = *document;
    try {
        const std::optional<ServerState> state = parseState(value.at("state").get<std::string>());
        ServerRegistration registration{name,
                                        ServiceName(value.at("service").get<std::string>()),
                                        FailureDomainName(value.at("domain").get<std::string>()),
                                        HostAddress(value.at("daemon").get<std::string>()),
                                        Incarnation(value.at("incarnation").get<std::uint64_t>()),
                                        value.at("startedAt").get<std::int64_t>(),
                                        value.at("daemonStartedAt").get<std::int64_t>(),
                                        value.at("slots").get<int>(),
                                        state.value_or(ServerState::Draining)};
        const bool isValid = state && registration.slots > 0 && registration.slots <= kMaximumSlots
            && !name.value().empty() && !registration.service.value().empty() && !registration.daemon.value().empty();
        return isValid ? std::optional(registration) : std::nullopt;
    } catch (const std::exception &) {
        // Another writer may have stored any text under this name; the caller logs that it can't be parsed.
        return std::nullopt;
    }
}

} // namespace Hibiscus
