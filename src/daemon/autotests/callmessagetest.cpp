#include "daemon/callmessage.h"

#include "core/manualclock.h"
#include "daemon/headernames.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

CallMessage sampleMessage(const ManualClock &clock)
{
    CallMessage message;
    message.attempt = AttemptId(42);
    message.incarnation = Incarnation(9);
    CallRequest &call = message.call;
    call.service = ServiceName("deposit-desk");
    call.method = "POST";
    call.path = "/deposits?raft=3";
    call.headers.add("X-Tag", "a");
    call.body = "body";
    call.root = {ClassName("deposits"), 3, 17, RequestIdentity{HostAddress("127.0.0.1:1"), Incarnation(5), 6}};
    call.callPath = "k1/h2.0";
    call.repeatable = false;
    call.deadline = clock.now() + Millis{1500.5};
    call.attemptBudget = 12;
    return message;
}

} // namespace

TEST_CASE("CallMessage: decoding restores the encoded message")
{
    // Guards against a class, identity, deadline or attempt budget that is lost between daemons.
    const ManualClock clock;
    const CallMessage sent = sampleMessage(clock);
    const auto received = decodeCall(encodeCall(sent, clock), clock);
    REQUIRE(received.has_value());
    CHECK(received->purpose == CallPurpose::Execute);
    CHECK(received->attempt == sent.attempt);
    CHECK(received->incarnation == sent.incarnation);
    const CallRequest &call = received->call;
    CHECK(call.service == sent.call.service);
    CHECK(call.path == sent.call.path);
    CHECK(call.body == "body");
    CHECK(call.headers.find("X-Tag") == "a");
    CHECK_FALSE(call.headers.find(HeaderName::kAttemptBudget).has_value());
    CHECK(call.root.rank == 3);
    CHECK(call.root.bucket == 17);
    CHECK(call.root.identity == sent.call.root.identity);
    CHECK(call.callPath == sent.call.callPath);
    CHECK_FALSE(call.repeatable);
    CHECK(call.deadline == sent.call.deadline);
    CHECK(call.attemptBudget == 12);
}

TEST_CASE("CallMessage: malformed messages are refused")
{
    // Guards against a default value in place of a field that is missing or out of range.
    struct FieldCase {
        std::string_view header;
        const char *value; ///< Null removes the field.
    };
    const FieldCase cases[] = {
        {HeaderName::kAttempt, nullptr},     {HeaderName::kAttempt, "x"},        {HeaderName::kClass, nullptr},
        {HeaderName::kIncarnation, nullptr}, {HeaderName::kRank, "-1"},          {HeaderName::kBucket, "128"},
        {HeaderName::kBucket, ""},           {HeaderName::kAttemptBudget, "-1"}, {HeaderName::kDeadline, "1ms"},
        {HeaderName::kRequestId, "a/b"},
    };
    const ManualClock clock;
    for (const FieldCase &testCase : cases) {
        CAPTURE(testCase.header);
        HttpRequest request = encodeCall(sampleMessage(clock), clock);
        request.headers.remove(testCase.header);
        if (testCase.value != nullptr) {
            request.headers.set(testCase.header, testCase.value);
        }
        const auto received = decodeCall(std::move(request), clock);
        REQUIRE_FALSE(received.has_value());
        CHECK(received.error() == ErrorKind::BadRequest);
    }
}

TEST_CASE("CallMessage: a response without a consistent outcome counts as unknown")
{
    // Guards against "completed" or "not run" concluded from a response that does not say so.
    struct ResponseCase {
        const char *outcome;
        const char *error;
        Outcome expected;
    };
    const ResponseCase cases[] = {
        {"completed", "", Outcome::Completed},
        {"not-run", "overloaded", Outcome::NotRun},
        {"not-run", "connection-lost", Outcome::Unknown},
        {"not-run", "", Outcome::Unknown},
        {"", "overloaded", Outcome::Unknown},
        {"unknown", "deadline-exceeded", Outcome::Unknown},
        {"fine", "", Outcome::Unknown},
    };
    for (const ResponseCase &testCase : cases) {
        CAPTURE(testCase.outcome);
        CAPTURE(testCase.error);
        HttpResponse response{200, {}, "x"};
        response.headers.set(HeaderName::kOutcome, testCase.outcome);
        response.headers.set(HeaderName::kError, testCase.error);
        CHECK(decodeResult(std::move(response)).outcome() == testCase.expected);
    }
}

TEST_CASE("CallMessage: a backend server can't forge an outcome")
{
    // Guards against headers of the backend server that are taken for those of a daemon.
    HttpResponse forged{200, {}, "x"};
    forged.headers.set(HeaderName::kOutcome, "not-run");
    forged.headers.set(HeaderName::kError, "overloaded");
    forged.headers.set("X-Tag", "a");
    CallResult result;
    result.response = std::move(forged);
    const HttpResponse encoded = encodeResult(std::move(result));
    CHECK(encoded.headers.find(HeaderName::kOutcome) == "completed");
    CHECK_FALSE(encoded.headers.find(HeaderName::kError).has_value());
    CHECK(encoded.headers.find("X-Tag") == "a");
}

TEST_CASE("CallMessage: the limit that a server named reaches the other daemon as it was named")
{
    // Guards against a restarted daemon, or one where requests begin, that misreads the limit of a server in need.
    const ManualClock clock;
    for (const double perSecond : {0.0, 0.25, 41.9, 1e300}) {
        CAPTURE(perSecond);
        CallMessage message;
        message.call.service = ServiceName("desk");
        message.call.root.requestClass = ClassName("default");
        message.call.path = "/a";
        message.rateLimit = RequestRate{perSecond};
        const auto decoded = decodeCall(encodeCall(message, clock), clock);
        REQUIRE(decoded.has_value());
        CHECK(decoded->rateLimit == message.rateLimit);

        CallResult result;
        result.response = HttpResponse{200, {}, ""};
        result.rateLimit = RequestRate{perSecond};
        CHECK(decodeResult(encodeResult(std::move(result))).rateLimit == RequestRate{perSecond});
    }
    HttpResponse forged{200, {}, ""};
    forged.headers.add(std::string(HeaderName::kRateLimit), "inf");
    CHECK(!decodeResult(forged).rateLimit);
}
