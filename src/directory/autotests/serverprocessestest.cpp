#include "directory/serverprocesses.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Hibiscus;

namespace
{

const ServerName kServer("i-1");

/** What is known of one process. */
struct News {
    std::int64_t startedAt = 0;
    ProcessStage stage = ProcessStage::Serving;
};

std::vector<News> drawNews()
{
    std::vector<News> all;
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
        all.push_back({*rc::gen::inRange(1, 5), static_cast<ProcessStage>(*rc::gen::inRange(1, 3))});
    }
    return all;
}

/** The furthest that a process has come by any of the news, or by a later process of its name. */
ProcessStage expectedStage(const std::vector<News> &all, std::int64_t startedAt)
{
    ProcessStage stage = ProcessStage::Serving;
    for (const News &news : all) {
        if (news.startedAt > startedAt) {
            return ProcessStage::Left;
        }
        stage = news.startedAt == startedAt ? std::max(stage, news.stage) : stage;
    }
    return stage;
}

} // namespace

TEST_CASE("ServerProcesses: a process only goes forward, in whatever order the news of it arrive")
{
    // Guards against a server that had left and is in use again because of news that were late or came twice.
    CHECK(rc::check([] {
        const std::vector<News> all = drawNews();
        ServerProcesses processes(8);
        for (std::size_t i = 0; i < all.size(); ++i) {
            const ProcessStage before = processes.stage(kServer, all[i].startedAt);
            const bool isNew = processes.record(kServer, all[i].startedAt, all[i].stage);
            RC_ASSERT(isNew == (all[i].stage > before));
            const std::vector<News> seen(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(i) + 1);
            for (std::int64_t startedAt = 0; startedAt < 6; ++startedAt) {
                RC_ASSERT(processes.stage(kServer, startedAt) == expectedStage(seen, startedAt));
            }
        }
    }));
}

TEST_CASE("ServerProcesses: the oldest names are forgotten first")
{
    ServerProcesses processes(2);
    for (const char *name : {"a", "b", "c"}) {
        CHECK(processes.record(ServerName(name), 1, ProcessStage::Left));
    }
    CHECK(processes.latestStage(ServerName("a")) == ProcessStage::Serving);
    CHECK(processes.latestStage(ServerName("b")) == ProcessStage::Left);
    CHECK(processes.latestStart(ServerName("c")) == 1);
    CHECK_FALSE(processes.latestStart(ServerName("a")).has_value());
}
