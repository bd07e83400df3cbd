#ifndef HIBISCUS_TEAMS_APIKEY_H
#define HIBISCUS_TEAMS_APIKEY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus
{

/**
 * Secret that proves that a caller belongs to a team. There is no way to print one: neither the key nor a piece of it
 * may appear in a log line, a metric, a message to another daemon, an error text or the store.
 */
class ApiKey
{
public:
    explicit ApiKey(std::string secret)
        : secret_(std::move(secret))
    {
    }

    /** Whether @p candidate is this key. Takes equally long for all candidates of the key's length. */
    bool matches(std::string_view candidate) const;

    /** Hash of the key for an index. With a secret @p seed, nobody outside can choose keys that collide. */
    std::uint64_t hash(std::uint64_t seed) const;

    std::size_t size() const
    {
        return secret_.size();
    }

    /** Short digest by which operators tell keys apart. The key can't be derived from it. */
    std::string fingerprint() const;

    friend bool operator==(const ApiKey &a, const ApiKey &b)
    {
        return a.matches(b.secret_);
    }

private:
    std::string secret_;
};

} // namespace Hibiscus

#endif
