#include "config/rules.h"

#include "config/jsontext.h"
#include "config/requestpath.h"
#include "config/rulesjson.h"

#include <algorithm>
#include <stdexcept>

namespace Hibiscus
{

namespace
{

/** Whether @p candidate takes precedence over @p best, if any, for a request that both match. */
bool isMoreSpecific(const RouteRule &candidate, const RouteRule *best)
{
    if (best == nullptr || candidate.pathPrefix.size() != best->pathPrefix.size()) {
        return best == nullptr || candidate.pathPrefix.size() > best->pathPrefix.size();
    }
    return best->method == kAnyMethod;
}

bool matches(const RouteRule &route, const ServiceName &service, std::string_view method, std::string_view path)
{
    return route.service == service && (route.method == kAnyMethod || route.method == method)
        && pathStartsWith(path, route.pathPrefix);
}

} // namespace

const RequestClass *findClass(const Rules &rules, const ClassName &name)
{
    const auto found = std::find_if(rules.classes.begin(), rules.classes.end(),
                                    [&name](const RequestClass &entry) { return entry.name == name; });
    return found == rules.classes.end() ? nullptr : &*found;
}

const RequestClass &classify(const Rules &rules, const ServiceName &service, std::string_view method,
                             std::string_view path)
{
    const std::string normalized = normalizePath(path);
    const RouteRule *best = nullptr;
    for (const RouteRule &route : rules.routes) {
        if (matches(route, service, method, normalized) && isMoreSpecific(route, best)) {
            best = &route;
        }
    }
    const RequestClass *found = findClass(rules, best == nullptr ? rules.defaultClass : best->requestClass);
    if (found == nullptr) {
        throw std::logic_error("the rules refer to a class that they do not define");
    }
    return *found;
}

tl::expected<Rules, std::vector<ConfigError>> parseRules(std::string_view text, const std::string &file,
                                                         const Inventory &inventory)
{
    ErrorList errors(file);
    const nlohmann::json value = parseJsonText(text, errors);
    if (value.is_null() && !errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    Rules rules = readRules(value, "", inventory, errors);
    if (!errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    return rules;
}

} // namespace Hibiscus
