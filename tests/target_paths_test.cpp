// Decisions about hosts that get no forwarded requests for some servers.
#include "decisions/TargetPaths.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace cumindale;

namespace {

Instant at(int64_t ms) { return instantFromMillis(100'000 + ms); }

const TargetPath path { "server-1", "host-1" };

}

TEST_CASE("a host that lacks the path to a server is passed over for it until it reaches it")
{
    TargetPaths paths;
    CHECK(paths.hostsWithout("server-1").empty());
    paths.lacks(path, at(0));
    CHECK(paths.hostsWithout("server-1") == std::vector<std::string> { "host-1" });
    CHECK(paths.hostsWithout("server-2").empty());
    paths.reaches(path);
    CHECK(paths.hostsWithout("server-1").empty());
    CHECK(paths.size() == 0);
}

// Guards against a question for each request that was forwarded meanwhile.
TEST_CASE("a host is asked again after pauses that grow to a bound")
{
    TargetPaths paths;
    std::vector<int64_t> questions;
    for (int64_t ms = 0; ms <= 10'000; ms += 10) {
        if (ms == 0 || paths.nextToAsk(at(ms))) {
            questions.push_back(ms);
            paths.lacks(path, at(ms));
        }
        paths.lacks(path, at(ms)); // says a forwarded request
    }
    CHECK(questions == std::vector<int64_t> { 0, 250, 750, 1'750, 3'750, 5'750, 7'750, 9'750 });
}

TEST_CASE("the path that has been due longest is asked about first")
{
    TargetPaths paths;
    paths.lacks({ "server-2", "host-2" }, at(0));
    paths.lacks(path, at(10));
    CHECK_FALSE(paths.nextToAsk(at(249)));
    CHECK(paths.nextToAsk(at(400)) == TargetPath { "server-2", "host-2" });
    paths.lacks({ "server-2", "host-2" }, at(400));
    CHECK(paths.nextToAsk(at(400)) == path);
}
