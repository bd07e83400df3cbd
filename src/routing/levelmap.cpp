#include "routing/levelmap.h"

#include "core/ids.h"

namespace Hibiscus
{

template<class Key>
LevelMap<Key>::LevelMap(const Clock &clock)
    : clock_(clock)
{
}

template<class Key>
void LevelMap<Key>::report(const Key &key, Level level)
{
    entries_[key] = {level, clock_.now()};
}

template<class Key>
Level LevelMap<Key>::levelFor(const Key &key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && isCurrent(found->second) ? found->second.level : Level{};
}

template<class Key>
bool LevelMap<Key>::admits(const Key &key, Level request) const
{
    return request >= levelFor(key);
}

template<class Key>
void LevelMap<Key>::remove(const Key &key)
{
    entries_.erase(key);
}

template<class Key>
void LevelMap<Key>::prune()
{
    std::erase_if(entries_, [this](const auto &entry) { return !isCurrent(entry.second); });
}

template<class Key>
std::size_t LevelMap<Key>::size() const
{
    return entries_.size();
}

template<class Key>
bool LevelMap<Key>::isCurrent(const Entry &entry) const
{
    return clock_.now() - entry.reported < kLevelLifetime;
}

template class LevelMap<ServerName>;
template class LevelMap<ServiceName>;

} // namespace Hibiscus
