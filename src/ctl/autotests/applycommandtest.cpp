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

void confirmBoth(Bench &bench, int version)
{
    bench.confirm("a", version);
    bench.confirm("b", version);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("apply: a change is accepted only when every failure domain has confirmed it")
{
    // Guards against telling an operator that a change is in force while it is not.
    Bench bench;
    bench.confirm("a", 1);
    const CommandResult pending = apply(bench, exampleRequest(10, {}));
    CHECK(pending.code == ExitCode::Pending);
    CHECK(pending.details["unconfirmed"] == nlohmann::json({"b"}));
    CHECK(contains(textOf(pending), "not confirmed by b"));
    CHECK_FALSE(contains(textOf(pending), "accepted"));
    CHECK(bench.progress.lines.size() >= 4);
    // The same command goes on waiting and writes nothing.
    bench.pause.during = [&] { bench.confirm("b", 1); };
    CHECK(apply(bench, exampleRequest(10, {})).code == ExitCode::Success);
    CHECK(stored(bench).version == ConfigVersion(1));
    // An older confirmation doesn't count for the next change.
    bench.pause.during = nullptr;
    CHECK(apply(bench, exampleRequest(11, 1)).code == ExitCode::Pending);
}

TEST_CASE("apply: damaged confirmations and an outage while waiting never count as accepted")
{
    // Guards against a cut-off domain that is taken for a confirmed one.
    Bench bench;
    bench.store.create("confirm/a", "{\"version\": \"1\"}");
    bench.store.create("confirm/b", "[");
    CHECK(apply(bench, exampleRequest(10, {})).details["unconfirmed"].size() == 2);
    bench.store.afterWrite = [&] { bench.store.setFaults({true, {}, 0}); };
    CHECK(apply(bench, exampleRequest(11, 1)).code == ExitCode::Pending);
    bench.store.setFaults({});
    CHECK(stored(bench).version == ConfigVersion(2));
}

TEST_CASE("apply: a confirm object is read as the domain agent writes it, and nothing else is taken for one")
{
    // Guards against a change that stays pending for ever, or is accepted on a value that can't be read.
    struct Case {
        const char *value;
        bool confirmed;
    };
    for (const Case &c : {Case{R"({"version": 1, "roster": ["desk-1"]})", false}, Case{"1\ndesk-1\ndesk-2\n", true},
                          Case{"2", true}, Case{"0\ndesk-1", false}, Case{"-1", false}, Case{"1.5", false},
                          Case{"desk-1\n1", false}, Case{"[1]", false}, Case{"", false}, Case{"{}", false}}) {
        CAPTURE(c.value);
        Bench bench;
        bench.confirm("a", 1);
        bench.store.create("confirm/b", c.value);
        CHECK((apply(bench, exampleRequest(10, {})).code == ExitCode::Success) == c.confirmed);
    }
}

TEST_CASE("apply: an existing configuration is only replaced on the base that the author names")
{
    // Guards against files that silently undo a change which their author has not seen.
    Bench bench;
    confirmBoth(bench, 9);
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
        confirmBoth(bench, 9);
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
    confirmBoth(bench, 9);
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
        confirmBoth(bench, 99);
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
        CHECK(stored(bench).audit.size() == kAuditEntries);
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
    confirmBoth(bench, 1);
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
    CHECK_FALSE(bench.store.get("config").has_value());
    bench.store.create("config", "{}");
    CHECK(apply(bench, exampleRequest(10, 1)).code == ExitCode::Invalid);
    CHECK(bench.store.get("config")->value == "{}");
}

TEST_CASE("apply: a summary too long for the object is kept whole elsewhere")
{
    // Guards against an object that outgrows the platform's limit, and against the loss of what was changed.
    Bench bench;
    confirmBoth(bench, 1);
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

TEST_CASE("apply: servers are only moved, added or removed on an accepted configuration")
{
    // Guards against two roster changes in a row, after which a domain's old and new majorities need not overlap.
    Bench bench;
    bench.confirm("a", 1);
    REQUIRE(apply(bench, exampleRequest(10, {})).code == ExitCode::Pending);
    ApplyRequest moved = exampleRequest(10, 1);
    moved.files.inventory.servers.push_back(moved.files.inventory.servers.front());
    moved.files.inventory.servers.back().name = ServerName("new-server");
    const CommandResult refused = apply(bench, moved);
    CHECK(refused.code == ExitCode::Conflict);
    CHECK(refused.details["result"] == "roster-change-refused");
    CHECK(stored(bench).version == ConfigVersion(1));
    bench.confirm("b", 1);
    apply(bench, moved);
    CHECK(stored(bench).version == ConfigVersion(2));
}
