#include "routing/serverset.h"

#include <utility>

namespace Hibiscus
{

ServerSetChange ServerSet::update(const std::vector<ServerView> &views)
{
    std::map<ServerName, ServerView> next;
    for (const ServerView &view : views) {
        next.insert_or_assign(view.name, view);
    }
    ServerSetChange change;
    for (const auto &[name, view] : next) {
        const ServerView *before = find(name);
        if (!before || before->incarnation != view.incarnation) {
            change.started.push_back(name);
        }
    }
    for (const auto &[name, view] : servers_) {
        if (!next.contains(name)) {
            change.removed.push_back(name);
        }
    }
    servers_ = std::move(next);
    return change;
}

const ServerView *ServerSet::find(const ServerName &name) const
{
    const auto found = servers_.find(name);
    return found == servers_.end() ? nullptr : &found->second;
}

void ServerSet::setIncarnation(const ServerName &name, Incarnation incarnation)
{
    if (const auto found = servers_.find(name); found != servers_.end()) {
        found->second.incarnation = incarnation;
    }
}

std::vector<ServerView> ServerSet::usable() const
{
    std::vector<ServerView> usable;
    for (const auto &[name, view] : servers_) {
        if (!view.draining) {
            usable.push_back(view);
        }
    }
    return usable;
}

} // namespace Hibiscus
