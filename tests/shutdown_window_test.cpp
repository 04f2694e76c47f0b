#include "decisions/ShutdownWindow.h"

#include <doctest/doctest.h>
#include <vector>

using namespace cumindale;

namespace {

constexpr Instant begin = instantFromMillis(10'000);
constexpr Millis grace { 5'500 };

}

// Guards against requests that are cut off without an answer when the process of a stopping host is killed.
TEST_CASE("a request that is sent late in a planned stop is answered before its end")
{
    const ShutdownWindow window(begin, begin + grace);
    // Two seconds of requests on open connections, uploads that end late, and long reads.
    const std::vector<Millis> timeouts { Millis(300), Millis(1'200), Millis(3'000), Millis(8'000) };
    for (int64_t ms = 0; ms <= grace.count(); ms += 10) {
        for (const Millis timeout : timeouts) {
            const Instant now = begin + Millis(ms);
            const Instant deadline = now + timeout;
            const bool early = Millis(ms) <= grace / 2;
            CHECK(window.maySend(now, deadline) == (early || deadline <= begin + grace));
        }
    }
}

// Guards against requests that servers usually take seconds for.
TEST_CASE("a slow request is sent only if several times its usual duration fits into the grace period")
{
    const ShutdownWindow window(begin, begin + grace);
    const Instant never = begin + Millis(60'000);
    CHECK(window.maySend(begin + Millis(1'500), never, Millis(1'000)));
    CHECK_FALSE(window.maySend(begin + Millis(1'501), never, Millis(1'000)));
    CHECK_FALSE(window.maySend(begin, never, Millis(3'500)));
    CHECK(window.maySend(begin, begin + grace, Millis(3'500))); // it times out before the end
}

TEST_CASE("a request waits for its server no longer than it may be sent")
{
    const ShutdownWindow window(begin, begin + grace);
    const Instant half = begin + grace / 2;
    CHECK(window.latestSend(begin + Millis(400)) == begin + Millis(400));
    CHECK(window.latestSend(begin + grace) == begin + grace);
    CHECK(window.latestSend(begin + grace + Millis(1)) == half);
    CHECK_FALSE(window.maySend(half + Millis(1), begin + grace + Millis(1)));
}
