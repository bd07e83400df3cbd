#include "soak/soakrun.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Hibiscus;

TEST_CASE("brokenPromises: each figure of a result that must be zero is seen")
{
    // Guards against a soak that passes because it looks for a figure under a name that the load program doesn't use.
    const nlohmann::json sound = {{"wrong_answers", 0},
                                  {"executions",
                                   {{"double_runs", 0},
                                    {"false_not_run", 0},
                                    {"wrong_downstream_answers", 0},
                                    {"servers_not_read", nlohmann::json::array()}}}};
    CHECK(brokenPromises(sound).empty());
    for (const char *place : {"/wrong_answers", "/executions/double_runs", "/executions/false_not_run",
                              "/executions/wrong_downstream_answers"}) {
        CAPTURE(place);
        const nlohmann::json::json_pointer pointer(place);
        nlohmann::json broken = sound;
        broken[pointer] = 1;
        CHECK(brokenPromises(broken).size() == 1);
        nlohmann::json incomplete = sound;
        incomplete[pointer.parent_pointer()].erase(pointer.back());
        CHECK(brokenPromises(incomplete).size() == 1);
    }
    nlohmann::json unread = sound;
    unread["executions"]["servers_not_read"].push_back("s1");
    CHECK(brokenPromises(unread).size() == 1);
    CHECK(brokenPromises(nlohmann::json()).size() == 4);
}
