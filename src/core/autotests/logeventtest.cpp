#include "core/logevent.h"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace Hibiscus;

namespace
{

const char *severityName(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        break;
    }
    return "error";
}

} // namespace

TEST_CASE("LogEvent: docs/log-events.md lists exactly the events of the code")
{
    // Guards against an event without documentation, and against documentation of an event that no code logs.
    std::set<std::string> documented;
    std::ifstream page(HIBISCUS_SOURCE_DIR "/docs/log-events.md");
    REQUIRE(page.good());
    for (std::string line; std::getline(page, line);) {
        std::istringstream cells(line);
        std::string bar;
        std::string number;
        std::string name;
        std::string severity;
        cells >> bar >> number >> bar >> name >> bar >> severity;
        if (!number.empty() && number.find_first_not_of("0123456789") == std::string::npos) {
            documented.insert(number + " " + name + " " + severity);
        }
    }
    std::set<std::string> inCode;
    for (const LogEventInfo &info : logEvents()) {
        inCode.insert(std::to_string(static_cast<int>(info.event)) + " " + std::string(info.name) + " "
                      + severityName(info.severity));
    }
    CHECK(documented == inCode);
    CHECK(inCode.size() == logEvents().size());
}
