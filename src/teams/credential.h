#ifndef HIBISCUS_TEAMS_CREDENTIAL_H
#define HIBISCUS_TEAMS_CREDENTIAL_H

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/** What a request states of the team that it belongs to. Its key must not be printed; see ApiKey. */
struct Credential {
    enum class Kind {
        None, ///< The request states nothing.
        Malformed, ///< It states something that isn't one key.
        Key,
    };

    Kind kind = Kind::None;
    std::string key{}; ///< Only of the kind Key; not empty.
};

/**
 * Reads the values of all Authorization fields of a request (RFC 6750, section 2.1): one field with the scheme "Bearer"
 * in any case, one or more blanks, and the key, which contains no blanks.
 */
Credential parseCredential(const std::vector<std::string_view> &fields);

} // namespace Hibiscus

#endif
