#ifndef HIBISCUS_CORE_CONTENTHASH_H
#define HIBISCUS_CORE_CONTENTHASH_H

#include "core/ids.h"

#include <cstdint>
#include <string_view>

namespace Hibiscus
{

/** Signature of a request: equal for every resend of the same content, whatever its identity. */
Signature requestSignature(const ServiceName &service, std::string_view method, std::string_view path,
                           std::string_view body);

/** 64-bit hash of @p text that is the same in every process. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace Hibiscus

#endif
