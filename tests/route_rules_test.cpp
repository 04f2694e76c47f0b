#include "decisions/RouteRules.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace cumindale;

namespace {

HostRoute route(std::string host, std::string prefix, std::string name)
{
    HostRoute made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    made.services = { { "service", 1 } };
    return made;
}

// Reference implementation: a linear search through all routes.
const HostRoute* longestMatch(const std::vector<HostRoute>& routes, std::string_view host, std::string_view path)
{
    const HostRoute* best = nullptr;
    for (const auto& one : routes) {
        const bool fits = one.host == host && path.starts_with(one.pathPrefix);
        if (fits && (!best || one.pathPrefix.size() > best->pathPrefix.size()))
            best = &one;
    }
    return best;
}

}

TEST_CASE("the longest matching prefix of the host wins, as in a linear search")
{
    rc::check([] {
        const auto part = [] { return *rc::gen::element<std::string>("a/", "b/", "ab/", "/"); };
        std::vector<HostRoute> routes;
        std::map<std::string, bool> places;
        RouteRules rules;
        const int count = *rc::gen::inRange(0, 8);
        for (int i = 0; i < count; ++i) {
            std::string prefix = "/";
            for (int depth = *rc::gen::inRange(0, 3); depth > 0; --depth)
                prefix += part();
            const std::string host = *rc::gen::element<std::string>("x.example", "y.example");
            if (!places.emplace(host + prefix, true).second)
                continue;
            routes.push_back(route(host, prefix, std::to_string(i)));
            rules.add(routes.back());
        }
        std::string path = "/";
        for (int depth = *rc::gen::inRange(0, 4); depth > 0; --depth)
            path += part();
        path += *rc::gen::element<std::string>("", "leaf", "a");
        const HostRoute* expected = longestMatch(routes, "x.example", path);
        const HostRoute* found = rules.match("x.example", path);
        RC_ASSERT((expected ? expected->name : "none") == (found ? found->name : "none"));
    });
}

TEST_CASE("a traffic split holds its proportions over any few hundred requests")
{
    HostRoute split = route("x", "/", "r");
    split.services = { { "a", 70 }, { "b", 25 }, { "c", 5 } };
    TrafficSplitter dealer;
    std::map<std::string, int> dealt;
    constexpr int requests = 300;
    for (int i = 0; i < requests; ++i)
        ++dealt[dealer.next(split)];
    CHECK(dealt["a"] == 210);
    CHECK(dealt["b"] == 75);
    CHECK(dealt["c"] == 15);
}
