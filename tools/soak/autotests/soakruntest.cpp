#include "soak/soakrun.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Hibiscus;

TEST_CASE("findViolations: checks each count that must be zero, and reports a missing one")
{
    // Guards against a soak that passes because it reads a count under a name that the load program doesn't use.
    const nlohmann::json valid = {{"wrong_answers", 0},
                                  {"executions",
                                   {{"double_runs", 0},
                                    {"false_not_run", 0},
                                    {"wrong_downstream_answers", 0},
                                    {"servers_not_read", nlohmann::json::array()}}}};
    CHECK(findViolations(valid).empty());
    for (const char *path : {"/wrong_answers", "/executions/double_runs", "/executions/false_not_run",
                             "/executions/wrong_downstream_answers"}) {
        CAPTURE(path);
        const nlohmann::json::json_pointer pointer(path);
        nlohmann::json invalid = valid;
        invalid[pointer] = 1;
        CHECK(findViolations(invalid).size() == 1);
        nlohmann::json incomplete = valid;
        incomplete[pointer.parent_pointer()].erase(pointer.back());
        CHECK(findViolations(incomplete).size() == 1);
    }
    nlohmann::json unread = valid;
    unread["executions"]["servers_not_read"].push_back("s1");
    CHECK(findViolations(unread).size() == 1);
    CHECK(findViolations(nlohmann::json()).size() == 4);
}
