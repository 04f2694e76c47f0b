// Tests the shares and permits that the coordinator gives to hosts.
#include "gateway/ServerShares.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr Instant begin { Millis(10'000) };
constexpr unsigned slots = 2;

wire::ServerUse crowdAt(const std::string& server)
{
    wire::ServerUse use;
    use.server = server;
    use.inFlightCenti = use.waitingCenti = 2'000;
    use.present = use.waitingNow = 20;
    use.workMicros = 100'000;
    return use;
}

bool getsPermits(ServerShares& shares, const std::string& server, Instant now)
{
    shares.report("host", crowdAt(server), slots, now);
    const auto share = shares.shareFor("host", server, slots, true, now);
    return share && share->crowded;
}

}

// At most six servers may be crowded at once. Servers that went away while crowded must not count towards that limit
// forever: no other server could get permits, and hot keys would overload their servers.
TEST_CASE("a crowded server that reports no longer name stops counting towards the limit")
{
    ServerShares shares({}, 100);
    shares.setHosts(58, Millis(250));
    for (int i = 0; i < 6; ++i)
        REQUIRE(getsPermits(shares, "gone-" + std::to_string(i), begin));
    CHECK_FALSE(getsPermits(shares, "seventh", begin + Millis(100)));
    CHECK(getsPermits(shares, "seventh", begin + Millis(3'000)));
}
