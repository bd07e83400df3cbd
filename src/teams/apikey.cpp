#include "teams/apikey.h"

#include "core/contenthash.h"

#include <fmt/format.h>

namespace Hibiscus
{

bool ApiKey::matches(std::string_view candidate) const
{
    if (candidate.size() != secret_.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t i = 0; i < candidate.size(); ++i) {
        difference |= static_cast<unsigned char>(candidate[i] ^ secret_[i]);
    }
    return difference == 0;
}

std::uint64_t ApiKey::hash(std::uint64_t seed) const
{
    return stableHash(secret_, seed);
}

std::string ApiKey::fingerprint() const
{
    constexpr std::uint64_t kShownBits = 0xFFFF'FFFF;
    return fmt::format("{:08x}", stableHash(secret_) & kShownBits);
}

} // namespace Hibiscus
