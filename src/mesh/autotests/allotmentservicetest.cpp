#include "mesh/allotmentservice.h"

#include "core/chronotime.h"
#include "core/steadyclock.h"
#include "http/httpserver.h"
#include "mesh/allotmentcodec.h"
#include "mesh/autotests/testmesh.h"
#include "teams/allotmentterms.h"

#include <memory>
#include <thread>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr Allotment kAllotment{RequestRate{200}, 40};
const TeamName kTeam("pine");

/** The part of a daemon that deals with allotments, with sockets and an event loop of its own. */
class Node
{
public:
    explicit Node(const std::string &address)
        : self{ServerName("s-" + address), FailureDomainName("a"), HostAddress(address), HostAddress(),
               Incarnation(DeviceRandom().next())}
        , server_(context, HttpServerSettings{self.peers}, service)
    {
        REQUIRE(server_.open().has_value());
    }

    ServerRegistration registration() const
    {
        return {self.server, ServiceName("desk"), self.domain, self.peers, self.incarnation, 1, 1,
                1,           ServerState::Ready};
    }

    asio::io_context context{1};
    DaemonIdentity self;
    SteadyClock clock;
    SeededRandom random{7};
    HttpClient client{context};
    AllotmentService service{context, client, self, clock, random};
    int admitted = 0;
    int refused = 0;
    int unknown = 0;
    bool isFrozen = false;

private:
    HttpServer server_;
};

constexpr Millis kLongestStall{60};

/** Nodes that know each other, of which each runs while the test waits. */
class Nodes
{
public:
    explicit Nodes(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<Node>(nextAddress().value()));
        }
        share();
    }

    void share()
    {
        ServerDirectory directory;
        std::uint64_t revision = 0;
        for (const auto &node : nodes) {
            directory.apply(node->registration(), {0, ++revision});
        }
        for (const auto &node : nodes) {
            node->service.setTeams({{kTeam, {}, 0, kAllotment}}, directory);
        }
    }

    std::size_t lender() const
    {
        Daemons daemons;
        for (const auto &node : nodes) {
            daemons[node->self.peers] = node->self.incarnation;
        }
        const auto lender = lenderOf(partitionOf(kTeam), daemons);
        std::size_t index = 0;
        while (nodes[index]->self.peers != lender) {
            ++index;
        }
        return index;
    }

    void request(Node &node)
    {
        node.service.admit(kTeam, [this, &node](const AllotmentDecision &decision) {
            if (!decision.refusal) {
                ++node.admitted;
                times.push_back(clock.now());
            } else {
                ++(decision.refusal == ErrorKind::OverAllotment ? node.refused : node.unknown);
            }
        });
    }

    /** Sends @p rate requests a second at each of @p senders. */
    void run(Millis duration, RequestRate rate, const std::vector<std::size_t> &senders)
    {
        TimePoint next = clock.now();
        for (const TimePoint end = next + duration; clock.now() < end;) {
            if (clock.now() - next > kLongestStall) {
                // Requests that the test could not send in time would be a burst beyond the allotment.
                next = clock.now();
                hasStalled = hasStalled || rate.perSecond > 0;
            }
            for (; rate.perSecond > 0 && next <= clock.now(); next = next + Millis{1000 / rate.perSecond}) {
                for (const std::size_t sender : senders) {
                    if (!nodes[sender]->isFrozen) {
                        request(*nodes[sender]);
                    }
                }
            }
            for (const auto &node : nodes) {
                if (!node->isFrozen) {
                    node->context.restart();
                    node->context.poll();
                }
            }
            std::this_thread::sleep_for(toChrono(Millis{0.3}));
        }
    }

    /** Most requests admitted in any window of @p length. */
    std::size_t mostIn(Millis length) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= length) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    SteadyClock clock;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<TimePoint> times; ///< Of admitted requests.
    bool hasStalled = false; ///< The test itself got no processor time for a while, so the nodes neither.
};

/** Requests that the users' rule allows in a time. */
double allowed(Millis window)
{
    constexpr double kOverage = 1.1;
    constexpr double kSlack = 20;
    return (kAllotment.rate.perSecond * window.value / 1000 + kAllotment.burst) * kOverage + kSlack;
}

constexpr Millis kWindow{2000};
constexpr RequestRate kNone{0};
constexpr Millis kLeadTime{800}; ///< From the start of the daemons until requests arrive.

std::vector<std::size_t> others(const Nodes &nodes)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < nodes.nodes.size(); ++i) {
        if (i != nodes.lender()) {
            indices.push_back(i);
        }
    }
    return indices;
}

} // namespace

TEST_CASE("AllotmentService: requests within the allotment are admitted from the first on, wherever they arrive")
{
    constexpr int kMostTries = 8; // On a busy machine, since only nodes that run answer in time.
    auto nodes = std::make_unique<Nodes>(3);
    for (int tries = 1; tries <= kMostTries; ++tries) {
        nodes->run(kLeadTime, kNone, {});
        nodes->run(Millis{1500}, RequestRate{50}, {0, 1, 2});
        if (!nodes->hasStalled) {
            break;
        }
        REQUIRE(tries < kMostTries);
        nodes = std::make_unique<Nodes>(3);
    }
    for (const auto &node : nodes->nodes) {
        CHECK(node->refused == 0);
        CHECK(node->unknown == 0);
        CHECK(node->admitted >= 70);
    }
    CHECK(nodes->nodes[0]->service.exposition().find("hibiscus_team_requests_total{team=\"pine\",result=\"admitted\"}")
          != std::string::npos);
}

TEST_CASE("AllotmentService: the daemons that are left share the allotment while their lender is gone and comes back")
{
    // Guards against daemons that refuse all without their lender, and against a new lender that lends all again.
    Nodes nodes(3);
    nodes.run(kLeadTime, kNone, {});
    const std::size_t lender = nodes.lender();
    const std::vector<std::size_t> senders = others(nodes);
    nodes.run(Millis{2000}, RequestRate{300}, senders);
    const std::string address = nodes.nodes[lender]->self.peers.value();
    nodes.nodes[lender].reset();
    nodes.nodes[lender] = std::make_unique<Node>(nextAddress().value());
    nodes.nodes[lender]->isFrozen = true;
    const std::size_t before = nodes.times.size();
    nodes.run(Millis{2500}, RequestRate{300}, senders);
    const std::size_t alone = nodes.times.size() - before;
    CHECK(static_cast<double>(alone) >= 0.6 * 2.5 * kAllotment.rate.perSecond);
    nodes.nodes[lender].reset();
    nodes.nodes[lender] = std::make_unique<Node>(address);
    nodes.share();
    const std::size_t back = nodes.times.size();
    nodes.run(Millis{2500}, RequestRate{300}, senders);
    CHECK(static_cast<double>(nodes.times.size() - back) >= 0.8 * 2.5 * kAllotment.rate.perSecond);
    CHECK(static_cast<double>(nodes.mostIn(kWindow)) <= allowed(kWindow));
}

TEST_CASE("AllotmentService: restarted daemons are served though the host of their lender is lost for good")
{
    // Guards against daemons that refuse a team for good since the entry of its lender stays (review/12).
    Nodes nodes(4);
    nodes.run(kLeadTime, kNone, {});
    const std::size_t lender = nodes.lender();
    const std::vector<std::size_t> senders = others(nodes);
    for (std::size_t i = 0; i < nodes.nodes.size(); ++i) {
        const std::string address = nodes.nodes[i]->self.peers.value();
        nodes.nodes[i].reset();
        nodes.nodes[i] = std::make_unique<Node>(address);
        nodes.nodes[i]->isFrozen = i == lender;
    }
    nodes.share();
    nodes.run(AllotmentTerms::kOwnPartAfter + Millis{2000}, RequestRate{50}, senders);
    const std::size_t before = nodes.times.size();
    nodes.run(Millis{2000}, RequestRate{40}, senders);
    // The part of the lost host is held back: a quarter of 200 requests a second.
    CHECK(static_cast<double>(nodes.times.size() - before) >= 0.9 * 2 * 3 * 40);
    CHECK(static_cast<double>(nodes.mostIn(kWindow)) <= allowed(kWindow));
}

TEST_CASE("AllotmentService: a frozen daemon that wakes admits no more than its share")
{
    // Guards against tokens that were granted before the freeze, which the lender has lent again since.
    Nodes nodes(3);
    nodes.run(kLeadTime, kNone, {});
    const std::vector<std::size_t> senders = others(nodes);
    nodes.run(Millis{2000}, RequestRate{300}, senders);
    Node &frozen = *nodes.nodes[senders[0]];
    frozen.isFrozen = true;
    nodes.run(Millis{2000}, RequestRate{300}, senders);
    frozen.isFrozen = false;
    const int before = frozen.admitted;
    nodes.run(Millis{2000}, RequestRate{300}, senders);
    CHECK(frozen.admitted - before >= 0.3 * 2 * kAllotment.rate.perSecond);
    CHECK(static_cast<double>(nodes.mostIn(kWindow)) <= allowed(kWindow));
}

TEST_CASE("AllotmentService: without a limit of any team no message is sent, and all is admitted")
{
    Nodes nodes(2);
    for (const auto &node : nodes.nodes) {
        node->service.setTeams({{kTeam, {}, 0, Allotment{}}}, ServerDirectory());
    }
    nodes.run(Millis{200}, RequestRate{500}, {0, 1});
    CHECK(nodes.nodes[0]->refused + nodes.nodes[0]->unknown == 0);
    CHECK(nodes.nodes[0]->admitted >= 90);
    CHECK(nodes.nodes[0]->service.exposition().empty());
    nodes.nodes[0]->context.restart();
    CHECK(nodes.nodes[0]->context.poll() == 0);
}

TEST_CASE("MeshDaemon: the peers listener takes reports on allotments")
{
    // Guards against a daemon whose lender part is never asked.
    Mesh mesh;
    const auto send = [&](const std::string &body) {
        return mesh.send(mesh.desk->settings.peers, {"POST", AllotmentService::kTarget, {}, body});
    };
    const AllotmentReport report{mesh.front->settings.peers, Incarnation(5), 1, {}};
    const HttpResponse response = send(serializeAllotmentRequest({Partition(0), report}));
    CHECK(response.status == 200);
    CHECK(parseAllotmentAnswer(response.body).has_value());
    CHECK(send("{}").status == 400);
    const HttpResponse probed = mesh.send(mesh.desk->settings.peers, {"GET", AllotmentService::kTarget, {}, ""});
    CHECK(probed.status == 200);
}

TEST_CASE("AllotmentCodec: messages are read as they were written, and damaged ones are not read")
{
    const AllotmentRequest request{
        Partition(1),
        {HostAddress("127.0.0.1:1"), Incarnation(~std::uint64_t{0}), 7, {{kTeam, {2.5}, {2}, 1, 2, 3.25, 0.5, 0.25}}}};
    const std::string text = serializeAllotmentRequest(request);
    const auto read = parseAllotmentRequest(text);
    REQUIRE(read.has_value());
    CHECK(serializeAllotmentRequest(*read) == text);
    const std::string answer = serializeAllotmentAnswer({Incarnation(9), {{kTeam, 1.5, 0.5, 2, 0.75, Millis{80}}}});
    const auto readBack = parseAllotmentAnswer(answer);
    REQUIRE(readBack.has_value());
    CHECK(serializeAllotmentAnswer(*readBack) == answer);
    for (const char *damaged :
         {"", "[]", "{}", R"({"lender":1,"teams":[["pine",1]]})", R"({"lender":1,"teams":[["pine",-1,0,0,0,0]]})",
          R"({"lender":1,"teams":[["pine","1",0,0,0,0]]})", R"({"lender":1,"teams":[["pine",1e300,0,0,0,0]]})",
          R"({"lender":-1,"teams":[]})"}) {
        CAPTURE(damaged);
        CHECK_FALSE(parseAllotmentAnswer(damaged).has_value());
        CHECK_FALSE(parseAllotmentRequest(damaged).has_value());
    }
}
