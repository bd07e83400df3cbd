#include "config/rulesjson.h"

#include "config/nameregistry.h"
#include "config/objectreader.h"
#include "config/requestpath.h"
#include "config/valueformat.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

constexpr Millis kMinimumDeadline{1};
/** Half of the 10 min for which outcomes are kept, so that no deadline outlives the record of its request. */
constexpr Millis kMaximumDeadline{300'000};
constexpr std::size_t kMaximumPathBytes = 512;
constexpr std::array<std::string_view, 8> kMethods{"*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};
constexpr const char *kMethodAllowed = "one of *, DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT";
constexpr const char *kPathAllowed = "a path that starts with '/', without query, escapes, empty or dot segments or a "
                                     "'/' at its end";

/** Reads the rules of one file. The registries check the names that its entries define and refer to. */
class RulesReader
{
public:
    RulesReader(const Inventory &inventory, ErrorList &errors)
        : errors_(errors)
        , classes_("class", errors)
        , services_("service", errors)
        , routes_("route", errors)
    {
        for (const ServiceName &service : inventory.services) {
            services_.addDefinition(service.value(), "the inventory");
        }
    }

    Rules read(const json &value, const std::string &location)
    {
        ObjectReader reader(value, location, errors_);
        reader.list("classes", false,
                    [this](const json &entry, const std::string &entryLocation) { readClass(entry, entryLocation); });
        reader.list("routes", true,
                    [this](const json &entry, const std::string &entryLocation) { readRoute(entry, entryLocation); });
        rules_.defaultClass = ClassName(reader.name("defaultClass"));
        classes_.addReference(rules_.defaultClass.value(), reader.locationOf("defaultClass"));
        reader.finish();
        assignRanks();
        return std::move(rules_);
    }

private:
    /** The file lists the most important class first; rank 0 is the least important. */
    void assignRanks()
    {
        std::reverse(rules_.classes.begin(), rules_.classes.end());
        int rank = 0;
        for (RequestClass &requestClass : rules_.classes) {
            requestClass.rank = rank++;
        }
    }

    void readClass(const json &value, const std::string &location)
    {
        ObjectReader reader(value, location, errors_);
        RequestClass entry;
        entry.name = ClassName(reader.name("name"));
        entry.repeatable = reader.boolean("repeatable");
        entry.deadline = reader.duration("deadline", kMinimumDeadline, kMaximumDeadline);
        reader.finish();
        classes_.addDefinition(entry.name.value(), reader.locationOf("name"));
        rules_.classes.push_back(std::move(entry));
    }

    void readRoute(const json &value, const std::string &location)
    {
        ObjectReader reader(value, location, errors_);
        RouteRule entry;
        entry.service = ServiceName(reader.name("service"));
        entry.method = reader.text("method", kMaximumNameBytes);
        entry.pathPrefix = reader.text("pathPrefix", kMaximumPathBytes);
        entry.requestClass = ClassName(reader.name("class"));
        reader.finish();
        services_.addReference(entry.service.value(), reader.locationOf("service"));
        classes_.addReference(entry.requestClass.value(), reader.locationOf("class"));
        checkMethodAndPath(entry, reader);
        rules_.routes.push_back(std::move(entry));
    }

    void checkMethodAndPath(const RouteRule &entry, const ObjectReader &reader)
    {
        if (entry.method.empty() || entry.pathPrefix.empty()) {
            return;
        }
        if (std::find(kMethods.begin(), kMethods.end(), entry.method) == kMethods.end()) {
            errors_.add(reader.locationOf("method"), json(entry.method), kMethodAllowed);
        }
        if (normalizePath(entry.pathPrefix) != entry.pathPrefix) {
            errors_.add(reader.locationOf("pathPrefix"), json(entry.pathPrefix), kPathAllowed);
        }
        routes_.addDefinition(entry.service.value() + " " + entry.method + " " + entry.pathPrefix,
                              reader.locationOf("pathPrefix"));
    }

    ErrorList &errors_;
    NameRegistry classes_;
    NameRegistry services_;
    NameRegistry routes_;
    Rules rules_;
};

} // namespace

Rules readRules(const json &value, const std::string &location, const Inventory &inventory, ErrorList &errors)
{
    return RulesReader(inventory, errors).read(value, location);
}

json writeRules(const Rules &rules)
{
    json classes = json::array();
    for (auto entry = rules.classes.rbegin(); entry != rules.classes.rend(); ++entry) {
        classes.push_back({{"name", entry->name.value()},
                           {"repeatable", entry->repeatable},
                           {"deadline", formatDuration(entry->deadline)}});
    }
    json routes = json::array();
    for (const RouteRule &route : rules.routes) {
        routes.push_back({{"service", route.service.value()},
                          {"method", route.method},
                          {"pathPrefix", route.pathPrefix},
                          {"class", route.requestClass.value()}});
    }
    return {{"classes", classes}, {"routes", routes}, {"defaultClass", rules.defaultClass.value()}};
}

} // namespace Hibiscus
