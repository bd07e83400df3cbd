#ifndef HIBISCUS_CONFIG_RULES_H
#define HIBISCUS_CONFIG_RULES_H

#include "config/configerror.h"
#include "config/inventory.h"
#include "core/ids.h"
#include "core/millis.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Method of a route that applies to every method. */
inline constexpr std::string_view kAnyMethod = "*";

/** Requests of equal importance, with the same deadline. */
struct RequestClass {
    ClassName name;
    int rank = 0; ///< 0 is the least important class; ranks are consecutive.
    bool repeatable = false; ///< The requests are idempotent and may be retried.
    Millis deadline; ///< Time from the arrival of the root request until its response is useless.

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

/** Assigns the requests of one service under a path prefix to a class. */
struct RouteRule {
    ServiceName service;
    std::string method; ///< In upper case, or kAnyMethod.
    std::string pathPrefix; ///< Normalized; matches whole path segments.
    ClassName requestClass;

    friend bool operator==(const RouteRule &, const RouteRule &) = default;
};

/** Request classes and the routes that assign requests to them. */
struct Rules {
    std::vector<RequestClass> classes; ///< Ordered by rank: classes[i].rank == i.
    std::vector<RouteRule> routes;
    ClassName defaultClass; ///< Class of the requests that no route matches.

    friend bool operator==(const Rules &, const Rules &) = default;
};

/** Class with the given name; null if the rules have none. */
const RequestClass *findClass(const Rules &rules, const ClassName &name);

/**
 * Class of a request: that of the matching route with the longest path prefix, or the default class if no route
 * matches. Among routes with equal prefixes, one with the request's method takes precedence over one with kAnyMethod.
 *
 * The path is normalized first, and its query is ignored, so that the spelling of a path doesn't change its class. The
 * rules must come from parseRules() or parseConfiguration(), which guarantee that every class they refer to exists.
 */
const RequestClass &classify(const Rules &rules, const ServiceName &service, std::string_view method,
                             std::string_view path);

/** Reads a rules file: JSON with comments. Checks services against @p inventory; errors name @p file. */
tl::expected<Rules, std::vector<ConfigError>> parseRules(std::string_view text, const std::string &file,
                                                         const Inventory &inventory);

} // namespace Hibiscus

#endif
