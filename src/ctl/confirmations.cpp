#include "ctl/confirmations.h"

#include "membership/domainagent.h"

namespace Hibiscus
{

namespace
{

using nlohmann::json;

/** Time between two looks. With 6 domains this makes 12 reads a second, well below the platform's 2,000. */
constexpr Millis kPollPause{500};
/** Time between two progress lines while nothing changes. */
constexpr Millis kProgressInterval{5000};

std::optional<ConfigVersion> parseConfirmation(const std::string &text)
{
    const ConfigVersion version = DomainAgent::confirmedVersion(text);
    return version == ConfigVersion() ? std::nullopt : std::optional(version);
}

} // namespace

Confirmations::Confirmations(ObjectStore &store, const Inventory &inventory)
    : store_(store)
{
    for (const FailureDomainEntry &entry : inventory.domains) {
        domains_.push_back({entry.name, {}});
    }
}

bool Confirmations::look(ConfigVersion version)
{
    for (DomainConfirmation &domain : domains_) {
        if (domain.version && *domain.version >= version) {
            continue;
        }
        const auto stored = store_.get(DomainAgent::confirmKey(domain.domain));
        if (stored) {
            domain.version = parseConfirmation(stored->value);
        } else if (stored.error() != StoreError::NotFound) {
            return false;
        }
    }
    return true;
}

void Confirmations::wait(ConfigVersion version, TimePoint deadline, const Waiting &waiting)
{
    std::size_t missingBefore = domains_.size() + 1;
    TimePoint nextLine = waiting.clock.now();
    while (true) {
        const bool answered = look(version);
        const std::vector<std::string> names = missing(version);
        if (names.empty()) {
            return;
        }
        if (names.size() != missingBefore || waiting.clock.now() >= nextLine) {
            missingBefore = names.size();
            nextLine = waiting.clock.now() + kProgressInterval;
            waiting.progress.report("version " + std::to_string(version.value()) + " confirmed by "
                                    + std::to_string(domains_.size() - names.size()) + " of "
                                    + std::to_string(domains_.size()) + " failure domains, waiting for "
                                    + joinNames(names) + (answered ? "" : " (the platform does not answer)"));
        }
        if (waiting.clock.now() >= deadline) {
            return;
        }
        waiting.pause.wait(kPollPause);
    }
}

std::vector<std::string> Confirmations::missing(ConfigVersion version) const
{
    std::vector<std::string> names;
    for (const DomainConfirmation &domain : domains_) {
        if (!domain.version || *domain.version < version) {
            names.push_back(domain.domain.value());
        }
    }
    return names;
}

json Confirmations::details() const
{
    json list = json::array();
    for (const DomainConfirmation &domain : domains_) {
        list.push_back({{"domain", domain.domain.value()},
                        {"confirmed", domain.version ? json(domain.version->value()) : json(nullptr)}});
    }
    return list;
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace Hibiscus
