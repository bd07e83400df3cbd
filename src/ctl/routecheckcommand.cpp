#include "ctl/routecheckcommand.h"

#include "config/routeconfigurationdifference.h"
#include "config/routeconfigurationreview.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

/** Line in which the entry with the name at the end of @p entry begins; 0 if the text has none. */
std::size_t lineOfEntry(const std::string &text, const std::string &entry)
{
    const std::size_t space = entry.find(' ');
    const std::string name = "\"" + (space == std::string::npos ? entry : entry.substr(space + 1)) + "\"";
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
        const std::size_t next = text.find_first_not_of(" \t\r\n", at + name.size());
        if (next != std::string::npos && text[next] == ':') {
            return 1
                + static_cast<std::size_t>(
                       std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
        }
    }
    return 0;
}

void addFindings(const NamedText &candidate, const RouteConfiguration &configuration, CommandResult &result)
{
    result.details["findings"] = json::array();
    for (const ConfigurationFinding &finding : reviewConfiguration(configuration)) {
        const std::size_t line = lineOfEntry(candidate.text, finding.entry);
        const std::string place = line == 0 ? candidate.name : candidate.name + ":" + std::to_string(line);
        result.lines.push_back(place + ": " + finding.entry + ": " + findingKindName(finding.kind) + ": "
                               + finding.text);
        result.details["findings"].push_back({{"line", line},
                                              {"entry", finding.entry},
                                              {"kind", findingKindName(finding.kind)},
                                              {"text", finding.text}});
        result.code = ExitCode::Invalid;
    }
}

void addDifference(const RouteConfiguration &before, const RouteConfiguration &after, CommandResult &result)
{
    const RouteConfigurationDifference difference = compareRouteConfigurations(before, after);
    if (after.version <= before.version) {
        result.code = ExitCode::Invalid;
        result.lines.push_back("version " + std::to_string(after.version.value()) + " is not later than version "
                               + std::to_string(before.version.value()) + ", which is in force");
    }
    result.lines.insert(result.lines.end(), difference.changes.begin(), difference.changes.end());
    for (const std::string &loss : difference.losses) {
        result.lines.push_back("! " + loss);
    }
    if (difference.changes.empty()) {
        result.lines.emplace_back("no difference to version " + std::to_string(before.version.value()));
    }
    result.details["inForce"] = before.version.value();
    result.details["changes"] = difference.changes;
    result.details["losses"] = difference.losses;
}

} // namespace

RouteCheckCommand::RouteCheckCommand(const ConfigurationDecoder &decoder)
    : decoder_(decoder)
{
}

CommandResult RouteCheckCommand::run(const NamedText &candidate, const std::optional<NamedText> &inForce) const
{
    const auto after = decoder_.decode(candidate.text);
    if (!after) {
        return failure(ExitCode::Invalid, candidate.name + ": " + after.error());
    }
    CommandResult result;
    result.details["version"] = after->version.value();
    addFindings(candidate, *after, result);
    if (!inForce) {
        if (result.lines.empty()) {
            result.lines.push_back(candidate.name + ": nothing found");
        }
        return result;
    }
    const auto before = decoder_.decode(inForce->text);
    if (!before) {
        return failure(ExitCode::Unavailable, inForce->name + ": " + before.error());
    }
    addDifference(*before, *after, result);
    return result;
}

} // namespace Hibiscus
