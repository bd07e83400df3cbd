#include "ctl/applycommand.h"

#include "ctl/autotests/testsupport.h"
#include "ctl/configurationstore.h"
#include "ctl/historycommand.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

CommandResult apply(CommandFixture &fixture, const ApplyRequest &request)
{
    return ApplyCommand(fixture.store, fixture.waitContext).run(request);
}

Configuration stored(CommandFixture &fixture)
{
    return ConfigurationStore(fixture.store).load().value().value();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("apply: a change is accepted once the platform confirms it, and repeating it writes nothing")
{
    // Guards against a change that is reported as accepted but not stored, and against a second write.
    CommandFixture fixture;
    const CommandResult first = apply(fixture, exampleRequest(10, {}));
    CHECK(first.code == ExitCode::Success);
    CHECK(contains(joinLines(first), "accepted: version 1"));
    CHECK(apply(fixture, exampleRequest(10, {})).code == ExitCode::Success);
    CHECK(stored(fixture).version == ConfigVersion(1));
}

TEST_CASE("apply: an existing configuration is replaced only if the request names its version as the base")
{
    // Guards against files that silently undo a change which their author has not seen.
    CommandFixture fixture;
    REQUIRE(apply(fixture, exampleRequest(10, {})).code == ExitCode::Success);
    const CommandResult withoutBase = apply(fixture, exampleRequest(11, {}));
    CHECK(withoutBase.code == ExitCode::Usage);
    CHECK(contains(joinLines(withoutBase), "slots 10 -> 11"));
    CHECK(contains(joinLines(withoutBase), "--base 1"));
    REQUIRE(apply(fixture, exampleRequest(12, 1, "ben")).code == ExitCode::Success);
    const CommandResult outdated = apply(fixture, exampleRequest(13, 1));
    CHECK(outdated.code == ExitCode::Conflict);
    CHECK(contains(joinLines(outdated), "ben"));
    CHECK(contains(joinLines(outdated), "slots 10 -> 12"));
    CHECK(apply(fixture, exampleRequest(13, 7)).code == ExitCode::Usage);
    CHECK(stored(fixture).inventory.servers[0].slots == 12);
}

TEST_CASE("apply: a conflict shows author, time and content of the other change, and overwrites nothing")
{
    // Guards against overwriting a change that was written between the read and the write of this one.
    for (const bool isFirstConfiguration : {true, false}) {
        CAPTURE(isFirstConfiguration);
        CommandFixture fixture;
        if (!isFirstConfiguration) {
            REQUIRE(apply(fixture, exampleRequest(10, {})).code == ExitCode::Success);
        }
        const std::optional<int> base = isFirstConfiguration ? std::optional<int>() : 1;
        fixture.store.beforeWrite = [&] { apply(fixture, exampleRequest(20, base, "ben")); };
        const CommandResult conflicting = apply(fixture, exampleRequest(30, base));
        CHECK(conflicting.code == ExitCode::Conflict);
        REQUIRE(conflicting.details["conflictingChanges"].size() == 1);
        CHECK(conflicting.details["conflictingChanges"][0]["author"] == "ben");
        CHECK(contains(joinLines(conflicting), "2025-12-03 22:13:20 UTC"));
        CHECK(contains(joinLines(conflicting), isFirstConfiguration ? "slots 20" : "slots 10 -> 20"));
        CHECK(stored(fixture).inventory.servers[0].slots == 20);
    }
}

TEST_CASE("apply: a lost response is resolved by the change id, whether or not the write took effect")
{
    // Guards against a change that is reported as failed although it is stored, or that is written twice.
    CommandFixture fixture;
    fixture.store.setFaults({false, {}, 1});
    CHECK(apply(fixture, exampleRequest(10, {})).code == ExitCode::Success);
    fixture.store.setFaults({false, {}, 1});
    CHECK(apply(fixture, exampleRequest(11, 1)).code == ExitCode::Success);
    fixture.store.writesToDrop = 3;
    CHECK(apply(fixture, exampleRequest(12, 2)).code == ExitCode::Success);
    CHECK(stored(fixture).audit.size() == 3);
}

TEST_CASE("apply: after a lost response and later changes, the result says whether the write took effect")
{
    // Guards against a stored change that is reported as a conflict, and against a dropped one that is reported as
    // accepted. More changes follow than the object keeps entries, so the entry is only in the archive.
    constexpr int kLaterChanges = 70;
    for (const bool tookEffect : {true, false}) {
        CAPTURE(tookEffect);
        CommandFixture fixture;
        REQUIRE(apply(fixture, exampleRequest(10, {})).code == ExitCode::Success);
        fixture.sleeper.onSleep = [&, done = false]() mutable {
            const int next = static_cast<int>(stored(fixture).version.value());
            for (int version = next; !done && version < next + kLaterChanges; ++version) {
                REQUIRE(apply(fixture, exampleRequest(100 + version, version, "ben")).code == ExitCode::Success);
            }
            done = true;
        };
        if (tookEffect) {
            fixture.store.setFaults({false, {}, 1});
        } else {
            fixture.store.writesToDrop = 1;
        }
        const CommandResult result = apply(fixture, exampleRequest(40, 1));
        CHECK(result.code == (tookEffect ? ExitCode::Success : ExitCode::Conflict));
        CHECK(stored(fixture).audit.size() == kMaximumAuditEntries);
        const CommandResult history = HistoryCommand(fixture.store).run({100, ""});
        REQUIRE(history.details["changes"].size() == 1 + kLaterChanges + (tookEffect ? 1 : 0));
        CHECK((history.details["changes"][kLaterChanges]["changeId"] == "aiko-40") == tookEffect);
    }
}

TEST_CASE("apply: an outage is reported as nothing written, and lost responses until the timeout as unknown")
{
    // Guards against a definite result for a write whose outcome is not known.
    CommandFixture fixture;
    fixture.store.setFaults({true, {}, 0});
    CHECK(apply(fixture, exampleRequest(10, {})).code == ExitCode::Unavailable);
    fixture.store.setFaults({});
    fixture.store.beforeWrite = [&] { fixture.store.setFaults({true, {}, 0}); };
    CHECK(apply(fixture, exampleRequest(10, {})).code == ExitCode::Unavailable);
    fixture.store.setFaults({false, {}, 1});
    fixture.store.afterWrite = [&] { fixture.store.setFaults({true, {}, 0}); };
    const CommandResult unknown = apply(fixture, exampleRequest(10, {}));
    CHECK(unknown.code == ExitCode::Unknown);
    CHECK(contains(joinLines(unknown), "aiko-10"));
    // As the message says, running the same command again resolves the outcome.
    fixture.store.setFaults({});
    CHECK(apply(fixture, exampleRequest(10, {})).code == ExitCode::Success);
    CHECK(stored(fixture).audit.size() == 1);
}

TEST_CASE("apply: a configuration that daemons can't parse is not written, and a damaged object is not overwritten")
{
    // Guards against a stored configuration that no daemon adopts, and against the loss of a damaged object.
    CommandFixture fixture;
    ApplyRequest request = exampleRequest(10, {});
    request.author = "two\nlines";
    CHECK(apply(fixture, request).code == ExitCode::Invalid);
    CHECK_FALSE(fixture.store.get("config/deployment").has_value());
    fixture.store.create("config/deployment", "{}");
    CHECK(apply(fixture, exampleRequest(10, 1)).code == ExitCode::Invalid);
    CHECK(fixture.store.get("config/deployment")->value == "{}");
}

TEST_CASE("apply: a summary too long for the object is stored in full in an object of its own")
{
    // Guards against an object above the platform's size limit, and against losing part of the summary.
    CommandFixture fixture;
    ApplyRequest request = exampleRequest(10, {});
    for (int i = 0; i < 900; ++i) {
        request.files.inventory.servers.push_back(
            {ServerName("extra-" + std::to_string(i)), ServiceName("desk"), FailureDomainName("a"), 5, 50});
    }
    REQUIRE(apply(fixture, request).code == ExitCode::Success);
    CHECK(stored(fixture).audit[0].summary.size() < 2200);
    const std::string whole = joinLines(HistoryCommand(fixture.store).run({100, request.changeId}));
    CHECK(contains(whole, "extra-899: service desk"));
    CHECK(HistoryCommand(fixture.store).run({100, "other"}).code == ExitCode::Invalid);
}
