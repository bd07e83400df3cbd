#include "rpc/controlcodec.h"

#include "membership/autotests/simulation.h"
#include "rpc/rpctext.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <json/reader.h>
#include <json/writer.h>

using namespace Hibiscus;

namespace
{

const std::uint64_t kLarge = ~0ULL;

Sender sender()
{
    return {ServerName("a"),
            Incarnation(kLarge),
            HostAddress("127.0.0.1:1"),
            FailureDomainName("d"),
            ConfigVersion(kLarge - 1),
            7,
            0xfffffffd};
}

MemberRecord record()
{
    MemberRecord result;
    result.name = ServerName("b");
    result.incarnation = Incarnation(5);
    result.revision = 1ULL << 40U;
    result.peerAddress = HostAddress("[::1]:8080");
    result.domain = FailureDomainName("d");
    result.service = ServiceName("s");
    result.adopted = ConfigVersion(9);
    result.draining = true;
    result.up = false;
    result.headroom = -3;
    return result;
}

PollResponse pollResponse()
{
    return {ServerName("b"), Incarnation(5), 11,   12,   ConfigVersion(13), true,
            {4321},          {123456789},    true, true, record()};
}

const PayloadEntry kEntry{"crash", "key \"\n\x01", "value \xc3\xa9", 3};

std::vector<ControlRequest> requests()
{
    const std::vector<RelayTarget> targets{{ServerName("x"), HostAddress("h:1")},
                                           {ServerName("y"), HostAddress("h:2")}};
    Poll plain;
    plain.originTag = 1;
    Poll full = plain;
    full.version = ConfigVersion(3);
    full.viewVersion = 77;
    full.viewDigest = 0xffffffff;
    full.originTag = 0xfffffffe;
    full.origin = PollOrigin{ServerName("r"),        Incarnation(kLarge), HostAddress("h:3"),
                             FailureDomainName("d"), ServerName("a"),     HostAddress("h:4")};
    full.round = 1ULL << 41U;
    full.term = 4;
    full.fresh = true;
    full.knownRevision = 6;
    full.knownUp = false;
    full.lease = EchoedLease{2, {1000}, {5000}};
    full.group = 3;
    full.relayTo = targets;
    const RelayReport report{Incarnation(8), 3, 4, {0, 2, 9}, {pollResponse()}};
    return {plain,
            full,
            Announce{std::nullopt, {}, {}, RelayReport{Incarnation(8), 3, 4, {}, {}}},
            Announce{sender(), {record(), record()}, {kEntry}, report},
            ViewRequest{sender(), Incarnation(), 0, {}, {}},
            ViewRequest{sender(), Incarnation(3), 8, {record()}, {kEntry}},
            LeaseRequest{sender()},
            ConfigurationRequest{},
            ConfigurationRequest{ConfigVersion(3)}};
}

std::vector<std::pair<std::string, ControlResponse>> responses()
{
    PollResponse plain;
    plain.name = ServerName("b");
    plain.incarnation = Incarnation(5);
    return {{"poll", plain},
            {"poll", pollResponse()},
            {"announce", AnnounceResponse{}},
            {"announce", AnnounceResponse{sender(), {10}, ServerName("a"), HostAddress("h:1")}},
            {"view", ViewDifference{sender(), ServerName("a"), HostAddress("h:1"), {record()}, {kEntry}}},
            {"lease", LeaseResponse{sender(), {4999}}},
            {"configuration", ConfigurationText{ConfigVersion(3), std::string(1U << 20U, 'x')}},
            {"configuration", ConfigurationText{}}};
}

std::string responseText(const ControlResponse &response)
{
    Json::Value text;
    text["id"] = 1000000;
    text["jsonrpc"] = "2.0";
    text["result"] = encode(response);
    return Json::FastWriter().write(text);
}

Json::Value parsed(std::string text)
{
    std::ranges::replace(text, '\'', '"');
    Json::Value value;
    REQUIRE(Json::Reader().parse(text, value));
    return value;
}

} // namespace

TEST_CASE("ControlCodec: each message survives its way through a text")
{
    // Guards against a member that is lost or changed on the wire; a lease or a version that is wrong breaks rules.
    for (const ControlRequest &request : requests()) {
        CAPTURE(requestText(1, request));
        const Json::Value value = parsed(requestText(1, request));
        const auto decoded = decodeRequest(value["method"].asString(), value["params"]["m"]);
        REQUIRE(decoded);
        CHECK((*decoded == request));
    }
    for (const auto &[method, response] : responses()) {
        CAPTURE(method);
        const auto decoded = decodeResponse(method, encode(response));
        REQUIRE(decoded);
        CHECK((*decoded == response));
    }
}

TEST_CASE("ControlCodec: encoding never extends a lease")
{
    // Guards against a remainder that is rounded up.
    LeaseResponse response{sender(), {4999.9}};
    CHECK(std::get<LeaseResponse>(*decodeResponse("lease", encode(ControlResponse(response)))).leaseRemaining
          == Millis{4999});
    response.leaseRemaining = {-1};
    CHECK(std::get<LeaseResponse>(*decodeResponse("lease", encode(ControlResponse(response)))).leaseRemaining
          == Millis{0});
}

TEST_CASE("ControlCodec: malformed messages are refused with the place of the fault")
{
    struct Case {
        std::string guards;
        std::string method;
        std::string text;
        std::string error;
    };
    const std::string from = "'f':{'n':'a','i':1,'a':'h:1','d':'d'}";
    const std::string poll = "'o':1";
    const std::string longName(300, 'x');
    const std::vector<Case> cases{
        {"another type", "lease", "[]", "lease: not an object"},
        {"null", "lease", "{'f':null}", "lease.f: not an object"},
        {"a missing message", "lease", "{}", "lease.f: missing"},
        {"a missing name", "lease", "{'f':{'i':1,'a':'h','d':'d'}}", "lease.f.n: missing"},
        {"an empty name", "lease", "{'f':{'n':'','i':1,'a':'h','d':'d'}}", "lease.f.n: empty"},
        {"a name of another type", "lease", "{'f':{'n':{},'i':1,'a':'h','d':'d'}}", "lease.f.n: not a string"},
        {"a long name", "lease", "{'f':{'n':'" + longName + "','i':1,'a':'h','d':'d'}}", "lease.f.n: too long"},
        {"incarnation 0", "lease", "{'f':{'n':'a','i':0,'a':'h','d':'d'}}", "lease.f.i: empty"},
        {"a negative number", "lease", "{'f':{'n':'a','i':-1,'a':'h','d':'d'}}", "not a whole number"},
        {"a fraction", "poll", "{" + poll + ",'r':1.5}", "poll.r: not a whole number"},
        {"a number beyond 64 bits", "poll", "{" + poll + ",'r':99999999999999999999}", "poll.r: not a whole number"},
        {"a number as text", "poll", "{" + poll + ",'r':'1'}", "poll.r: not a whole number"},
        {"a huge time", "poll", "{" + poll + ",'r':1,'l':{'i':1,'e':1e300,'r':1}}", "poll.l.e: not a whole number"},
        {"a time beyond exact doubles", "poll", "{" + poll + ",'r':1,'l':{'i':1,'e':18446744073709551615,'r':1}}",
         "poll.l.e: not a whole number"},
        {"a flag as number", "poll", "{" + poll + ",'r':1,'fr':1}", "poll.fr: not true or false"},
        {"a list of another type", "poll", "{" + poll + ",'r':1,'rt':{}}", "poll.rt: not a list"},
        {"a bad list item", "poll", "{" + poll + ",'r':1,'rt':[{'n':'a','a':'h'},7]}", "poll.rt: not an object"},
        {"bad indices", "announce", "{" + from + ",'rep':{'i':1,'g':1,'r':1,'u':'0x1'}}", "announce.rep.u: not a row"},
        {"an unknown method", "no-such", "{}", "unknown method"},
        {"a text as number", "configuration", "{}", ""},
    };
    for (const Case &item : cases) {
        CAPTURE(item.guards);
        const auto decoded = decodeRequest(item.method, parsed(item.text));
        CHECK((decoded ? std::string() : decoded.error().detail).find(item.error) != std::string::npos);
        CHECK(decoded.has_value() == item.error.empty());
    }
    Json::Value many(Json::arrayValue);
    many.resize(10001);
    Json::Value view = encode(ControlResponse(ViewDifference{sender(), {}, {}, {}, {}}));
    view["rec"] = many;
    CHECK_FALSE(decodeResponse("view", view).has_value());
    CHECK_FALSE(decodeResponse("configuration", parsed("{'v':1,'t':7}")).has_value());
}

TEST_CASE("ControlCodec: with 150 members a domain each daemon stays under 10 KB/s")
{
    // Guards against control traffic beyond the limit: bytes sent and received, with the HTTP headers of src/http.
    constexpr double kHeaderBytes = 75;
    constexpr double kSeconds = 30;
    Simulation simulation({150, 3, 3, 3, 3, 3}, 5, "raft-catalogue-");
    simulation.run(25000);
    std::map<ServerName, double> bytes;
    simulation.onMessage = [&](const auto &from, const auto *to, const auto *request, const auto *response) {
        const std::string text = request != nullptr ? requestText(1000000, *request) : responseText(*response);
        const double size = static_cast<double>(text.size()) + kHeaderBytes;
        bytes[from.name] += size;
        bytes[to->name] += size;
    };
    simulation.run(kSeconds * 1000);
    double most = 0;
    double agents = 0;
    for (const auto &process : simulation.processes) {
        most = std::max(most, bytes[process->name] / kSeconds);
        agents = std::max(agents, process->agent->isAgent() ? bytes[process->name] / kSeconds : 0);
    }
    MESSAGE("bytes/s, both directions: ", most, " at most, ", agents, " by an agent");
    CHECK(most < 10000);
}
