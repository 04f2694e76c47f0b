// Every request told the truth: what ran, ran at most once, and the answer is the caller's own and whole.
#include "routing_fixture.h"

#include <doctest/doctest.h>

using namespace cumindale;
using namespace cumindale::fixture;

namespace {

constexpr auto longerThanTrustedIdle = std::chrono::milliseconds(1'100); // idle for longer than a claim trusts

// A clock of a host that is stopped for ten seconds whenever it is about to stamp a deadline.
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

TEST_CASE("a claim whose connection ends without an answer is never sent again, and is told so")
{
    // A user would see a claim filed twice and the case frozen: the server ran it and died before its answer,
    // and the router tried another time.
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::CloseBeforeAnswer });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 502);
    CHECK(answer.header("Cumindale-Ran") == "unknown");
    CHECK(fixture.runs() == 1);
}

TEST_CASE("a lookup whose connection ends is tried again, and the caller sees one whole answer")
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

TEST_CASE("half an answer to a claim is none")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::CloseInAnswer });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 502);
    CHECK(answer.header("Cumindale-Ran") == "unknown");
    CHECK(fixture.runs() == 1);
}

TEST_CASE("an answer that names another request reaches nobody")
{
    // A user would see another worker's pension history: two answers crossed inside a server.
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::WrongRequestId });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 502);
    CHECK(answer.header("Cumindale-Error") == "bad-answer");
    CHECK(answer.header("Cumindale-Ran") == "unknown");
}

TEST_CASE("a late answer is not taken for that of the next request")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::AnswerAfterDeadline });
    const Answer late = fixture.post("claim");
    CHECK(late.status == 504);
    CHECK(late.header("Cumindale-Ran") == "unknown");
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // the late answer has arrived by now
    CHECK(fixture.get().body == "for n");
    CHECK(fixture.serverConnections() >= 2); // a fresh one
}

TEST_CASE("bytes after an answer make its connection unfit for the next request")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::ExtraBytes });
    CHECK(fixture.get().body == "for n");
    CHECK(fixture.get().body == "for n");
}

TEST_CASE("a claim that the server refused is tried again; it ran once")
{
    RoutingFixture fixture;
    fixture.setBehaviors({ ServerBehavior::Refuse, ServerBehavior::Refuse });
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 200);
    CHECK(fixture.runs() == 1);
}

TEST_CASE("refused by the server until the budget is spent: surely not run, and when to come back")
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

TEST_CASE("a first try that may have run is not denied by a second that surely did not")
{
    // A user would be told "not run" of a lookup that ran: the first try lost its connection, the second was
    // refused, and only the second was reported.
    RoutingFixture fixture;
    std::deque<ServerBehavior> behaviors(100, ServerBehavior::Refuse);
    behaviors.front() = ServerBehavior::CloseBeforeAnswer;
    fixture.setBehaviors(behaviors);
    const Answer answer = fixture.get();
    CHECK(answer.header("Cumindale-Error") == "server-refused");
    CHECK(answer.header("Cumindale-Ran") == "unknown");
}

TEST_CASE("with nothing listening the answer is a sure no, before the deadline is over by much")
{
    RoutingFixture fixture;
    fixture.stopServer();
    const auto start = std::chrono::steady_clock::now();
    const Answer answer = fixture.post("claim");
    CHECK(answer.status == 503);
    CHECK(answer.header("Cumindale-Ran") == "no");
    CHECK(millisSince(start) < 600); // deadline 300 ms
}

TEST_CASE("nothing is dispatched for a stopping slice, nor without a fresh lease")
{
    RoutingFixture fixture;
    fixture.setTable(2, SliceState::Stopping);
    CHECK(fixture.post("claim").header("Cumindale-Error") == "moving");
    fixture.setTable(3, SliceState::Serving, Millis(0));
    CHECK(fixture.post("claim").header("Cumindale-Error") == "not-fresh");
    CHECK(fixture.runs() == 0);
    fixture.setTable(4, SliceState::Serving);
    CHECK(fixture.post("claim").status == 200);
    fixture.setTable(3, SliceState::Stopping); // an older table comes late
    CHECK(fixture.post("claim").status == 200);
}

TEST_CASE("a request that waits for its owner is served as soon as there is one")
{
    RoutingFixture fixture;
    fixture.setTable(2, SliceState::Stopping);
    auto waiting = std::async(std::launch::async, [&] { return fixture.get(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    fixture.setTable(3, SliceState::Serving);
    CHECK(waiting.get().status == 200);
}

TEST_CASE("a claim goes over no connection that has been idle for more than a second")
{
    // A user would see "unknown" for a claim that went nowhere: something between the two ends had forgotten
    // the idle connection, and its bytes vanished.
    RoutingFixture fixture;
    CHECK(fixture.post("claim").status == 200);
    CHECK(fixture.post("claim").status == 200);
    CHECK(fixture.serverConnections() == 1);
    std::this_thread::sleep_for(longerThanTrustedIdle);
    CHECK(fixture.post("claim").status == 200);
    CHECK(fixture.serverConnections() == 2);
}

TEST_CASE("a caller that goes away cancels a lookup, and never a claim")
{
    // A user would see a server busy with work that nobody waits for: the caller had closed its connection long
    // ago, and the router held on to the server's slot until the deadline.
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

TEST_CASE("a host that has just started says neither that it is ready nor that a service is unknown")
{
    // A user would see "unknown service" from a host that was replaced a moment ago: the balancer was told that it
    // is ready, and it had not read the configuration yet.
    boost::asio::io_context context;
    const SystemClock clock;
    Metrics metrics;
    SpanLog spans(10);
    Router router(context.get_executor(), clock, { "host", 64 }, metrics, spans, [](RoutingReport) {});
    CHECK_FALSE(router.ready());
    CallerRequest request;
    request.target("/tracing/x");
    CHECK(router.bodyRule(request).error == ErrorKind::NotFresh);
}

TEST_CASE("a host that is stopped between its check and its send gives old work no new life")
{
    // A user would see a claim run at a server that no longer owns its key: a host checked its lease, was stopped for
    // seconds, woke, and stamped the request with a deadline from then.
    RoutingFixture fixture(std::make_shared<ClockPausedAtDeadlineStamp>());
    fixture.setTable(2, SliceState::Serving, Millis(1'000));
    const Answer answer = fixture.post("claim");
    CHECK(answer.header("Cumindale-Ran") == "no");
    CHECK(fixture.runs() == 0);
}
