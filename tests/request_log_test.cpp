// Which refusals leave a line in the log while there are too many for a line each.
#include "base/Metrics.h"
#include "gateway/RequestCrashes.h"
#include "gateway/RequestLog.h"
#include "set_clock.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace cumindale;

namespace {

struct RequestLogFixture {
    boost::asio::io_context context;
    SetClock clock;
    Metrics metrics;
    RequestCrashes crashes { context.get_executor(), clock, metrics, {}, [] {}, {} };
    RequestLog log { clock, metrics, crashes };

    size_t lines(ErrorKind kind, size_t refusals)
    {
        size_t written = 0;
        for (size_t i = 0; i < refusals; ++i)
            written += log.mayLog(kind);
        return written;
    }
};

constexpr Millis step { 10 };
constexpr size_t stepsPerSecond = 100;

}

// Guards against a flood of requests for routes that don't exist, during which nothing tells of any other refusal.
TEST_CASE_FIXTURE(RequestLogFixture, "a flood of refusals of one kind leaves lines for those of another kind")
{
    size_t written = 0;
    for (size_t i = 0; i < 10 * stepsPerSecond; ++i) {
        lines(ErrorKind::UnknownService, 30);
        if (i % stepsPerSecond == 50)
            written += lines(ErrorKind::BodyTooLarge, 1);
        clock.time += step;
    }
    CHECK(written == 10);
}

TEST_CASE_FIXTURE(RequestLogFixture, "a few refusals of one kind leave a line each")
{
    CHECK(lines(ErrorKind::UnknownService, 100) == 100);
    clock.time += Millis(10'000);
    CHECK(lines(ErrorKind::UnknownService, 100) == 100);
}

TEST_CASE_FIXTURE(RequestLogFixture, "refusals of all kinds together leave no more lines than the limit")
{
    size_t written = 0;
    constexpr size_t seconds = 20;
    for (size_t i = 0; i < seconds * stepsPerSecond; ++i) {
        for (size_t kind = 0; kind < errorKindCount; ++kind)
            written += lines(static_cast<ErrorKind>(kind), 5);
        clock.time += step;
    }
    CHECK(written <= 200 + 100 * seconds);
    CHECK(written >= 90 * seconds);
}
