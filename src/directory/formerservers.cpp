#include "directory/formerservers.h"

#include "core/contenthash.h"

#include <set>

namespace Hibiscus
{

FormerServers::FormerServers(HostAddress self, const Clock &clock)
    : self_(std::move(self))
    , clock_(clock)
{
}

bool FormerServers::remember(const ServerRegistration &left)
{
    const auto [known, isNew] = own_.try_emplace(left.name, left);
    if (isNew || known->second.startedAt >= left.startedAt) {
        return isNew;
    }
    known->second = left;
    return true;
}

void FormerServers::forget(const ServerName &name)
{
    own_.erase(name);
}

const std::map<ServerName, ServerRegistration> &FormerServers::own() const
{
    return own_;
}

std::vector<ServerRegistration> FormerServers::takeExpired(const ServerDirectory &directory)
{
    const TimePoint now = clock_.now();
    std::vector<ServerRegistration> expired;
    for (const auto &[name, entry] : directory.entries()) {
        if (entry.registration.state != ServerState::Left) {
            since_.erase(name);
            continue;
        }
        const TimePoint since = since_.try_emplace(name, now).first->second;
        if (now - since < kLifetime) {
            continue;
        }
        if (now - since >= kLifetime * static_cast<double>(turnOf(entry.registration, directory))) {
            since_[name] = now;
            own_.erase(name);
            expired.push_back(entry.registration);
        }
    }
    std::erase_if(since_, [&directory](const auto &known) { return directory.find(known.first) == nullptr; });
    return expired;
}

std::size_t FormerServers::turnOf(const ServerRegistration &left, const ServerDirectory &directory) const
{
    if (left.daemon == self_) {
        return 1;
    }
    const auto order = [&left](const HostAddress &daemon) {
        return stableHash(daemon.value() + " " + left.name.value());
    };
    std::set<HostAddress> before;
    for (const auto &[name, entry] : directory.entries()) {
        const ServerRegistration &other = entry.registration;
        const bool isServing = other.state != ServerState::Left && other.daemon != left.daemon;
        if (isServing && order(other.daemon) < order(self_)) {
            before.insert(other.daemon);
        }
    }
    return 2 + before.size();
}

} // namespace Hibiscus
