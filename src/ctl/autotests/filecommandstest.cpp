#include "ctl/autotests/testsupport.h"
#include "ctl/checkcommand.h"
#include "ctl/diffcommand.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

std::string example(const std::string &name)
{
    return std::string(HIBISCUS_EXAMPLES) + "/" + name;
}

} // namespace

TEST_CASE("check: every kind of file is recognized, and files are checked together")
{
    // Guards against a file that passes because it was not checked.
    const CommandResult good = CheckCommand().run(
        {example("kitami/daemon.json"), example("kitami/rules.json"), example("kitami/inventory.json")});
    CHECK(good.code == ExitCode::Success);
    CHECK(good.lines.size() == 3);
    struct Case {
        std::vector<std::string> files;
        std::string error;
    };
    for (const Case &c : {Case{{example("kitami/rules.json")}, "rules alone"},
                          Case{{example("kitami/inventory.json"), example("peachtree/inventory.json")}, "second"},
                          Case{{example("peachtree/inventory.json"), example("kitami/rules.json")}, "deposit-desk"},
                          Case{{example("peachtree/inventory.json"), example("kitami/daemon.json")}, "/server"},
                          Case{{example("none.json")}, "No such file"}, Case{{example("kitami")}, "Is a directory"},
                          Case{{"/dev/null"}, "line 1, column 1"}}) {
        const CommandResult bad = CheckCommand().run(c.files);
        CAPTURE(joinLines(bad));
        CHECK(bad.code == ExitCode::Invalid);
        CHECK(joinLines(bad).find(c.error) != std::string::npos);
        CHECK_FALSE(bad.details["errors"].empty());
    }
}

TEST_CASE("diff: shows the base for apply, and fails if the platform does not respond")
{
    // Guards against a diff that compares with another version than the one it names as the base for apply.
    CommandFixture fixture;
    const auto files = loadConfigurationFiles(example("kitami/inventory.json"), example("kitami/rules.json"));
    REQUIRE(files.has_value());
    CHECK(DiffCommand::runAgainstPlatform(fixture.store, *files).details["base"] == 0);
    ApplyRequest request = exampleRequest(1, {});
    request.files = *files;
    request.timeout = Millis{0};
    ApplyCommand(fixture.store, fixture.waitContext).run(request);
    const CommandResult same = DiffCommand::runAgainstPlatform(fixture.store, *files);
    CHECK(same.details["changes"].empty());
    CHECK(same.details["base"] == 1);
    CHECK(DiffCommand::runAgainstFiles(*files, exampleFiles(3)).details["changes"].size() > 10);
    fixture.store.setFaults({true, {}, 0});
    CHECK(DiffCommand::runAgainstPlatform(fixture.store, *files).code == ExitCode::Unavailable);
    CHECK(loadConfigurationFiles("/dev/null", "/none").error().size() == 2);
}
