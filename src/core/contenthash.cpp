#include "core/contenthash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Hibiscus
{

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Signature requestSignature(const ServiceName &service, std::string_view method, std::string_view path,
                           std::string_view body)
{
    // Each hash is the seed of the next, so that moving a byte between neighbouring parts changes the result.
    std::uint64_t hash = stableHash(service.value());
    hash = stableHash(method, hash);
    hash = stableHash(path, hash);
    return Signature(stableHash(body, hash));
}

} // namespace Hibiscus
