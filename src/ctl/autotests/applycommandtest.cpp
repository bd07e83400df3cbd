#include "ctl/applycommand.h"

#include "ctl/autotests/testsupport.h"
#include "ctl/configurationstore.h"
#include "ctl/historycommand.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

CommandResult apply(Bench &bench, const ApplyRequest &request)
{
    return ApplyCommand(bench.store, bench.waiting).run(request);
}

Configuration stored(Bench &bench)
{
    return ConfigurationStore(bench.store).load().value().value();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("apply: a change is accepted with the platform's answer, and repeating it writes nothing")
{
    // Guards against an operator who is told of a change that the platform doesn't hold, and against a second write.
    Bench bench;
    const CommandResult first = apply(bench, exampleRequest(10, {}));
    CHECK(first.code == ExitCode::Success);
    CHECK(contains(textOf(first), "accepted: version 1"));
    CHECK(apply(bench, exampleRequest(10, {})).code == ExitCode::Success);
    CHECK(stored(bench).version == ConfigVersion(1));
}

TEST_CASE("apply: an existing configuration is only replaced on the base that the author names")
{
    // Guards against files that silently undo a change which their author has not seen.
    Bench bench;
    REQUIRE(apply(bench, exampleRequest(10, {})).code == ExitCode::Success);
    const CommandResult asked = apply(bench, exampleRequest(11, {}));
    CHECK(asked.code == ExitCode::Usage);
    CHECK(contains(textOf(asked), "slots 10 -> 11"));
    CHECK(contains(textOf(asked), "--base 1"));
    REQUIRE(apply(bench, exampleRequest(12, 1, "ben")).code == ExitCode::Success);
    const CommandResult late = apply(bench, exampleRequest(13, 1));
    CHECK(late.code == ExitCode::Conflict);
    CHECK(contains(textOf(late), "ben"));
    CHECK(contains(textOf(late), "slots 10 -> 12"));
    CHECK(apply(bench, exampleRequest(13, 7)).code == ExitCode::Usage);
    CHECK(stored(bench).inventory.servers[0].slots == 12);
}

TEST_CASE("apply: the loser of a race is told author, time and content, and overwrites nothing")
{
    // Guards against the loss of a change that was written between the read and the write of another.
    for (const bool first : {true, false}) {
        CAPTURE(first);
        Bench bench;
        if (!first) {
            REQUIRE(apply(bench, exampleRequest(10, {})).code == ExitCode::Success);
        }
        const std::optional<int> base = first ? std::optional<int>() : 1;
        bench.store.beforeWrite = [&] { apply(bench, exampleRequest(20, base, "ben")); };
        const CommandResult lost = apply(bench, exampleRequest(30, base));
        CHECK(lost.code == ExitCode::Conflict);
        REQUIRE(lost.details["conflictingChanges"].size() == 1);
        CHECK(lost.details["conflictingChanges"][0]["author"] == "ben");
        CHECK(contains(textOf(lost), "2025-12-03 22:13:20 UTC"));
        CHECK(contains(textOf(lost), first ? "slots 20" : "slots 10 -> 20"));
        CHECK(stored(bench).inventory.servers[0].slots == 20);
    }
}

TEST_CASE("apply: a lost answer is resolved by the change id, whether or not the write took effect")
{
    // Guards against a change that is reported as lost though it is in force, or is written twice.
    Bench bench;
    bench.store.setFaults({false, {}, 1});
    CHECK(apply(bench, exampleRequest(10, {})).code == ExitCode::Success);
    bench.store.setFaults({false, {}, 1});
    CHECK(apply(bench, exampleRequest(11, 1)).code == ExitCode::Success);
    bench.store.dropWrites = 3;
    CHECK(apply(bench, exampleRequest(12, 2)).code == ExitCode::Success);
    CHECK(stored(bench).audit.size() == 3);
}

TEST_CASE("apply: a lost answer to a write that another one overtook is a conflict or a success, as it went")
{
    // Guards against mixing up a change that lost the race with one on which another was built. So many changes follow
    // that the object has dropped the entry in question.
    constexpr int kFollowing = 70;
    for (const bool tookEffect : {true, false}) {
        CAPTURE(tookEffect);
        Bench bench;
        REQUIRE(apply(bench, exampleRequest(10, {})).code == ExitCode::Success);
        bench.pause.during = [&, done = false]() mutable {
            const int next = static_cast<int>(stored(bench).version.value());
            for (int version = next; !done && version < next + kFollowing; ++version) {
                REQUIRE(apply(bench, exampleRequest(100 + version, version, "ben")).code == ExitCode::Success);
            }
            done = true;
        };
        if (tookEffect) {
            bench.store.setFaults({false, {}, 1});
        } else {
            bench.store.dropWrites = 1;
        }
        const CommandResult result = apply(bench, exampleRequest(40, 1));
        CHECK(result.code == (tookEffect ? ExitCode::Success : ExitCode::Conflict));
        CHECK(stored(bench).audit.size() == kMaximumAuditEntries);
        const CommandResult history = HistoryCommand(bench.store).run({100, ""});
        REQUIRE(history.details["changes"].size() == 1 + kFollowing + (tookEffect ? 1 : 0));
        CHECK((history.details["changes"][kFollowing]["changeId"] == "aiko-40") == tookEffect);
    }
}

TEST_CASE("apply: an outage is reported as nothing written, and lost answers until the timeout as unknown")
{
    // Guards against a promise about a write whose fate is not known.
    Bench bench;
    bench.store.setFaults({true, {}, 0});
    CHECK(apply(bench, exampleRequest(10, {})).code == ExitCode::Unavailable);
    bench.store.setFaults({});
    bench.store.beforeWrite = [&] { bench.store.setFaults({true, {}, 0}); };
    CHECK(apply(bench, exampleRequest(10, {})).code == ExitCode::Unavailable);
    bench.store.setFaults({false, {}, 1});
    bench.store.afterWrite = [&] { bench.store.setFaults({true, {}, 0}); };
    const CommandResult unknown = apply(bench, exampleRequest(10, {}));
    CHECK(unknown.code == ExitCode::Unknown);
    CHECK(contains(textOf(unknown), "aiko-10"));
    // As the message says, the same command then settles it.
    bench.store.setFaults({});
    CHECK(apply(bench, exampleRequest(10, {})).code == ExitCode::Success);
    CHECK(stored(bench).audit.size() == 1);
}

TEST_CASE("apply: what daemons could not read back is not written, and a damaged object is not overwritten")
{
    // Guards against a configuration that no daemon adopts.
    Bench bench;
    ApplyRequest request = exampleRequest(10, {});
    request.author = "two\nlines";
    CHECK(apply(bench, request).code == ExitCode::Invalid);
    CHECK_FALSE(bench.store.get("config/deployment").has_value());
    bench.store.create("config/deployment", "{}");
    CHECK(apply(bench, exampleRequest(10, 1)).code == ExitCode::Invalid);
    CHECK(bench.store.get("config/deployment")->value == "{}");
}

TEST_CASE("apply: a summary too long for the object is kept whole elsewhere")
{
    // Guards against an object that outgrows the platform's limit, and against the loss of what was changed.
    Bench bench;
    ApplyRequest request = exampleRequest(10, {});
    for (int i = 0; i < 900; ++i) {
        request.files.inventory.servers.push_back(
            {ServerName("extra-" + std::to_string(i)), ServiceName("desk"), FailureDomainName("a"), 5, 50});
    }
    REQUIRE(apply(bench, request).code == ExitCode::Success);
    CHECK(stored(bench).audit[0].summary.size() < 2200);
    const std::string whole = textOf(HistoryCommand(bench.store).run({100, request.changeId}));
    CHECK(contains(whole, "extra-899: service desk"));
    CHECK(HistoryCommand(bench.store).run({100, "other"}).code == ExitCode::Invalid);
}
