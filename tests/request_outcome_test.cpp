// Correctness of answers: `Cumindale-Ran` is accurate, a non-idempotent request runs at most once, and a caller gets
// only the complete answer to its own request.
#include "routing_fixture.h"

#include <doctest/doctest.h>

using namespace cumindale;
using namespace cumindale::fixture;

namespace {

constexpr auto longerThanTrustedIdle = std::chrono::milliseconds(1'100); // idle limit for non-idempotent requests: 1 s

// Simulates a process that is paused for ten seconds at each reading of the wall clock, just before it computes a
// deadline.
class ClockPausedAtDeadlineStamp final : public Clock {
public:
    Instant now() const override { return m_system.now() + Millis(m_pausedMillis); }
    int64_t monotonicMicros() const override { return m_system.monotonicMicros() + m_pausedMillis * 1000; }
    int64_t unixMillis() const override
    {
        m_pausedMillis += 10'000;
        return m_system.unixMillis() + m_pausedMillis;
    }

private:
    SystemClock m_system;
    mutable std::atomic<int64_t> m_pausedMillis { 0 };
};

int64_t millisSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

}

TEST_CASE("a claim whose connection ends without an answer is never retried, and is reported as unknown")
{
    // Guards against a claim that is filed twice: the server ran the claim and crashed before its answer, and the
    // router retried the claim.
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::CloseBeforeAnswer });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 502);
    CHECK(answer.header("Cumindale-Ran") == "unknown");
    CHECK(fixture.runs() == 1);
}

TEST_CASE("a lookup whose connection ends is retried, and the caller gets one complete answer")
{
    for (const ServerBehavior behavior :
        { ServerBehavior::CloseBeforeAnswer, ServerBehavior::CloseInAnswer, ServerBehavior::ShorterThanDeclared }) {
        RoutingFixture fixture;
        fixture.setBehaviors({ behavior });
        const Answer answer = fixture.get();
        CHECK(answer.status == 200);
        CHECK(answer.body == "for n");
        CHECK(fixture.runs() == 2);
    }
}

TEST_CASE("an incomplete answer to a claim is not passed on")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::CloseInAnswer });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 502);
    CHECK(answer.header("Cumindale-Ran") == "unknown");
    CHECK(fixture.runs() == 1);
}

TEST_CASE("an answer with the id of another request is not passed on")
{
    // Guards against disclosing another worker's pension history when a server swaps two answers.
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::WrongRequestId });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 502);
    CHECK(answer.header("Cumindale-Error") == "bad-answer");
    CHECK(answer.header("Cumindale-Ran") == "unknown");
}

TEST_CASE("a late answer is not matched to the next request")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::AnswerAfterDeadline });
    const Answer late = fixture.post("claim");
    CHECK(late.status == 504);
    CHECK(late.header("Cumindale-Ran") == "unknown");
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // the late answer has arrived by now
    CHECK(fixture.get().body == "for n");
    CHECK(fixture.serverConnections() >= 2); // the timed-out connection was not reused
}

TEST_CASE("a connection with unexpected bytes after an answer is not reused")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::ExtraBytes });
    CHECK(fixture.get().body == "for n");
    CHECK(fixture.get().body == "for n");
}

TEST_CASE("a claim that the server refused is retried and runs once")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::Refuse, ServerBehavior::Refuse });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 200);
    CHECK(fixture.runs() == 1);
}

TEST_CASE("a claim refused until the retry budget is spent is reported as not run, with Retry-After")
{
    RoutingFixture fixture;
    fixture.setBehaviors(std::deque<ServerBehavior>(100, ServerBehavior::Refuse));
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 503);
    CHECK(answer.header("Cumindale-Error") == "server-refused");
    CHECK(answer.header("Cumindale-Ran") == "no");
    CHECK_FALSE(answer.header("Retry-After").empty());
    CHECK(fixture.runs() == 0);
}

TEST_CASE("a retry that certainly did not run does not hide a first attempt that may have run")
{
    // Guards against reporting "not run" for a lookup that ran: the first attempt lost its connection, the second was
    // refused, and only the second was reported.
    RoutingFixture fixture;
    std::deque<ServerBehavior> behaviors(100, ServerBehavior::Refuse);
    behaviors.front() = ServerBehavior::CloseBeforeAnswer;
    fixture.setBehaviors(behaviors);
    const Answer answer = fixture.get();
    CHECK(answer.header("Cumindale-Error") == "server-refused");
    CHECK(answer.header("Cumindale-Ran") == "unknown");
}

TEST_CASE("if the server refuses connections, the request is reported as not run soon after its deadline")
{
    RoutingFixture fixture;
    fixture.stopServer();
    const auto start = std::chrono::steady_clock::now();
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 503);
    CHECK(answer.header("Cumindale-Ran") == "no");
    CHECK(millisSince(start) < 600); // deadline 300 ms
}

TEST_CASE("nothing is dispatched to a stopping slice or without a valid routing lease")
{
    RoutingFixture fixture;
    fixture.setTable(2, SliceState::Stopping);
    CHECK(fixture.post("claim").header("Cumindale-Error") == "moving");
    fixture.setTable(3, SliceState::Serving, Millis(0));
    CHECK(fixture.post("claim").header("Cumindale-Error") == "not-fresh");
    CHECK(fixture.runs() == 0);
    fixture.setTable(4, SliceState::Serving);
    CHECK(fixture.post("claim").status == 200);
    fixture.setTable(3, SliceState::Stopping); // an older table arrives late
    CHECK(fixture.post("claim").status == 200);
}

// Guards against 404 and 400 by a configuration that this host doesn't know to be the newest.
TEST_CASE("what a configuration doesn't allow is final only with valid leases, and only to callers")
{
    RoutingFixture fixture;
    const std::string unknown = "GET /other/x HTTP/1.1\r\nHost: h\r\nCase-Key: k\r\n\r\n";
    const std::string withoutKey = "GET /tracing/x HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string relayed = "GET /other/x HTTP/1.1\r\nHost: h\r\nCase-Key: k\r\nCumindale-Relayed: host-b\r\n\r\n";
    CHECK(fixture.send(unknown).status == 404);
    CHECK(fixture.send(withoutKey).status == 400);
    CHECK(fixture.send(relayed).header("Cumindale-Error") == "not-fresh");
    fixture.setTable(2, SliceState::Serving, Millis(0));
    for (const auto& request : { unknown, withoutKey }) {
        const Answer answer = fixture.send(request);
        CHECK(answer.status == 503);
        CHECK(answer.header("Cumindale-Error") == "not-fresh");
        CHECK_FALSE(answer.header("Retry-After").empty());
    }
}

TEST_CASE("a request that waits for an owner is served once the slice has one")
{
    RoutingFixture fixture;
    fixture.setTable(2, SliceState::Stopping);
    auto waiting = std::async(std::launch::async, [&] { return fixture.get(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    fixture.setTable(3, SliceState::Serving);
    CHECK(waiting.get().status == 200);
}

TEST_CASE("a claim is never sent over a connection that has been idle for more than a second")
{
    // Guards against reporting "unknown" for a claim that never reached the server: a device on the network path had
    // dropped the state of the idle connection, and the request was lost.
    RoutingFixture fixture;
    CHECK(fixture.post("claim").status == 200);
    CHECK(fixture.post("claim").status == 200);
    CHECK(fixture.serverConnections() == 1);
    std::this_thread::sleep_for(longerThanTrustedIdle);
    CHECK(fixture.post("claim").status == 200);
    CHECK(fixture.serverConnections() == 2);
}

TEST_CASE("a caller that disconnects cancels a lookup, but never a claim")
{
    // Guards against a server that is busy with abandoned work: the caller had closed its connection, but the router
    // held the server's slot until the deadline.
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::AnswerAfterDeadline });
    fixture.sendAndDisconnect(RoutingFixture::request("GET", "lookup", ""));
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    CHECK(fixture.cancelled() == 1);
    RoutingFixture another;
    another.setBehaviors({ ServerBehavior::DelayedAnswer });
    another.sendAndDisconnect(RoutingFixture::request("POST", "claim", "Content-Length: 1\r\n") + "c");
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    CHECK(another.runs() == 1);
    CHECK(another.cancelled() == 0);
}

TEST_CASE("a host without configuration is not ready and does not report a service as unknown")
{
    // Guards against "unknown service" errors from a restarted host that reports ready to the load balancer before it
    // has read the configuration.
    boost::asio::io_context context;
    const SystemClock clock;
    Metrics metrics;
    SpanLog spans(10);
    Router router(context.get_executor(), clock, { "host", 64 }, metrics, spans, [](RoutingReport) {});
    CHECK_FALSE(router.ready());
    CallerRequest request;
    request.target("/tracing/x");
    CHECK(router.requestPolicy(request).error == ErrorKind::NotFresh);
}

TEST_CASE("a host paused between its lease check and its send does not extend a request's deadline")
{
    // Guards against a claim that runs at a server that no longer owns its key: a host checked its lease, was paused
    // for seconds, and computed the request's deadline only after it resumed.
    RoutingFixture fixture(std::make_shared<ClockPausedAtDeadlineStamp>());
    fixture.setTable(2, SliceState::Serving, Millis(1'000));
    const Answer answer = fixture.post("claim");
    CHECK(answer.header("Cumindale-Ran") == "no");
    CHECK(fixture.runs() == 0);
}
