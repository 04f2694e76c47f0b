// Relay groups: each host receives updates once, and no copy crosses data centres needlessly.
#include "decisions/RelayPlan.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace cumindale;

namespace {

std::vector<RelayCandidate> hostsIn(std::initializer_list<size_t> perDataCentre)
{
    std::vector<RelayCandidate> hosts;
    size_t dataCentre = 0;
    for (const size_t count : perDataCentre) {
        const std::string name = "dc-" + std::to_string(dataCentre++);
        for (size_t i = 0; i < count; ++i)
            hosts.push_back({ name + "-" + std::to_string(i), name, 0.1 + 0.1 * static_cast<double>(i % 5), true });
    }
    return hosts;
}

}

TEST_CASE("every host is in one group of its own data centre, and groups are small")
{
    const auto hosts = hostsIn({ 1, 3, 23, 100 });
    std::map<std::string, const RelayCandidate*> byName;
    for (const auto& host : hosts)
        byName[host.name] = &host;
    std::set<std::string> seen;
    const RelayOptions options;
    for (const auto& group : planRelays(hosts, options)) {
        CHECK(seen.insert(group.relay).second);
        CHECK(group.members.size() < options.maxGroupSize);
        for (const auto& member : group.members) {
            CHECK(seen.insert(member).second);
            CHECK(byName[member]->dataCentre == byName[group.relay]->dataCentre);
            CHECK(byName[member]->strength <= byName[group.relay]->strength);
        }
    }
    CHECK(seen.size() == hosts.size());
}

TEST_CASE("a data centre with few hosts receives updates directly")
{
    const auto groups = planRelays(hostsIn({ 3, 3, 2 }));
    CHECK(groups.size() == 8);
}

TEST_CASE("a host that failed as a relay is a member until it may relay again")
{
    auto hosts = hostsIn({ 12 });
    const std::string first = planRelays(hosts).front().relay;
    for (auto& host : hosts)
        host.mayRelay = host.name != first;
    const auto groups = planRelays(hosts);
    REQUIRE(groups.size() == 1);
    CHECK(groups.front().relay != first);
    CHECK(groups.front().members.size() == 11);
    for (auto& host : hosts)
        host.mayRelay = false;
    CHECK(planRelays(hosts).size() == 12); // no relay is possible: each host receives updates directly
}
