// What the routing thread of a host keeps and does for each registered server, at the size of a large fleet.
#include "gateway/SlotExchange.h"
#include "gateway/UpstreamRegistry.h"
#include "set_clock.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <set>

using namespace cumindale;

namespace {

ServerChange changeFor(size_t index, std::optional<Instant> leavingSince = std::nullopt)
{
    RegisteredServer server;
    server.id = "i-" + std::to_string(index) + "@0";
    server.name = "i-" + std::to_string(index);
    server.service = index % 3 ? "desk" : "vault";
    server.dataCentre = "dc-" + std::to_string(index % 5);
    server.address = "127.0.0.1";
    server.port = 80;
    server.leaving = leavingSince.has_value();
    server.leavingSince = leavingSince.value_or(Instant {});
    return { server.id, std::make_shared<const RegisteredServer>(server) };
}

struct RegistryFixture {
    boost::asio::io_context context;
    SetClock clock;
    std::vector<std::string> removed;
    UpstreamRegistry registry { context.get_executor(), clock, "host-a", "dc-1",
        std::make_shared<ResponseMemory>(1'000'000),
        [this](const Upstream& server) { removed.push_back(server.entry.id); } };

    void add(size_t servers)
    {
        std::vector<ServerChange> changes;
        for (size_t i = 0; i < servers; ++i)
            changes.push_back(changeFor(i));
        registry.apply(changes, true);
    }
};

}

// Guards against memory and processor time that each host spends on every server of the fleet, most of it for servers
// to which it never sends a request.
TEST_CASE("only servers in use have state, whatever the number of registered ones")
{
    for (const size_t servers : { 1'000, 10'000, 20'000 }) {
        CAPTURE(servers);
        RegistryFixture fixture;
        UpstreamRegistry& registry = fixture.registry;
        fixture.add(servers);
        CHECK(registry.inUse().empty());
        constexpr uint64_t requests = 10;
        constexpr size_t sampled = 2; // for each request, beside the preferred ones
        for (uint64_t request = 0; request < requests; ++request)
            CHECK(registry.candidates("vault", request * 0x9e3779b97f4a7c15).size()
                <= SubsetOptions {}.preferred + sampled);
        REQUIRE(registry.upstream("i-7@0"));
        CHECK(registry.inUse().size() <= SubsetOptions {}.preferred + requests * sampled + 1);
        CHECK(registry.countOf("vault") == (servers + 2) / 3);
        fixture.clock.time = fixture.clock.time + Millis(61'000);
        registry.dropUnused(fixture.clock.now());
        CHECK(registry.inUse().empty());
    }
}

// Guards against a host that starts the time limit of a leaving server anew when it first uses the server.
TEST_CASE_FIXTURE(RegistryFixture, "a server that has been leaving for a while is still known to when it is first used")
{
    add(10);
    const Instant learned = clock.now();
    const std::vector<ServerChange> leaving { changeFor(4, learned) };
    registry.apply(leaving, false);
    clock.time = clock.time + Millis(3'000);
    REQUIRE(registry.upstream("i-4@0"));
    CHECK(registry.upstream("i-4@0")->entry.leavingSince == learned);
}

// Guards against limits that a server first used after they were told doesn't get.
TEST_CASE_FIXTURE(RegistryFixture, "a server that is first used later has the coordinator's limits")
{
    add(10);
    HostShares shares;
    shares.limits = std::make_shared<const RateLimits>(RateLimits { { "i-4@0", 2.5 } });
    registry.applyShares(shares, 3);
    const std::vector<std::string> crowded { "i-5@0" };
    registry.setCrowded(crowded);
    CHECK(registry.upstream("i-4@0")->rateLimit() == 2.5);
    CHECK(registry.upstream("i-5@0")->crowded(clock.now()));
    CHECK_FALSE(registry.upstream("i-6@0")->crowded(clock.now()));
}

TEST_CASE_FIXTURE(RegistryFixture, "removed servers lose their state, and a complete list removes those it omits")
{
    add(10);
    REQUIRE(registry.upstream("i-4@0"));
    const std::vector<ServerChange> gone { { "i-4@0", nullptr }, { "i-5@0", nullptr } };
    registry.apply(gone, false);
    CHECK(removed == std::vector<std::string> { "i-4@0" });
    CHECK_FALSE(registry.upstream("i-4@0"));
    REQUIRE(registry.upstream("i-9@0"));
    add(9);
    CHECK(removed == std::vector<std::string> { "i-4@0", "i-9@0" });
    CHECK(registry.isRegistered("i-5@0"));
    CHECK_FALSE(registry.isRegistered("i-9@0"));
}

// The directory divides the servers of a service into pools only when one joins or leaves.
TEST_CASE_FIXTURE(RegistryFixture, "each server of a service is in one pool, also after servers have joined and left")
{
    const PoolDirectory directory(registry, clock);
    const auto listed = [&] {
        std::multiset<std::string> ids;
        for (size_t index = 0; index < poolCount(registry.countOf("vault")); ++index) {
            for (const auto& server : directory.serversOf(poolOfService("vault", index)))
                ids.insert(server.id);
        }
        return ids;
    };
    add(300);
    CHECK(listed().size() == 100);
    CHECK(directory.serversOf(poolOfService("vault", 1'000)).empty());
    const std::vector<ServerChange> changes { { "i-3@0", nullptr }, changeFor(6, Instant {}), changeFor(900) };
    registry.apply(changes, false);
    const auto ids = listed();
    CHECK(ids.size() == 99);
    CHECK(ids.count("i-3@0") + ids.count("i-6@0") == 0);
    CHECK(ids.count("i-900@0") == 1);
}
