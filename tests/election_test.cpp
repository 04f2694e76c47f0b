// Standing for the coordinator's office, holding it and giving it back.
#include "control/Election.h"
#include "fake_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace cumindale;
using namespace cumindale::fixture;

namespace {

// A store that was read and shows no leader.
class NoLeaderSource final : public LeaderSource {
public:
    int64_t revision() const override { return 1; }
    const LeaderView& leader() const override { return m_noLeader; }

private:
    LeaderView m_noLeader;
};

struct ElectionFixture {
    boost::asio::io_context context;
    SystemClock clock;
    Metrics metrics;
    FakeStore store;
    NoLeaderSource leaderSource;
    Election election;

    explicit ElectionFixture(std::function<Millis()> campaignDelay = {})
        : election(
            context.get_executor(), clock, electionOptions(std::move(campaignDelay)), store, leaderSource, metrics)
    {
        boost::asio::co_spawn(context, election.run(), boost::asio::detached);
    }

    static ElectionOptions electionOptions(std::function<Millis()> campaignDelay)
    {
        ElectionOptions options;
        options.host = "host-a";
        options.campaignDelay = std::move(campaignDelay);
        return options;
    }
};

}

// What operators saw: every host of a deployment with hashed keys ended by itself a moment after its start. A host that
// is given no delay before it stands for the office called the delay that wasn't there: the compiler takes the wrong
// branch of a condition inside an awaited call.
TEST_CASE("a host without a delay of its own stands for a vacant office and wins it")
{
    ElectionFixture candidate;
    candidate.context.run_for(Millis(300));
    CHECK(candidate.election.isLeader());
    CHECK(candidate.election.mayAct());
}

TEST_CASE("a host with a delay waits for it before it stands")
{
    ElectionFixture candidate([] { return Millis(200); });
    candidate.context.run_for(Millis(100));
    CHECK_FALSE(candidate.election.isLeader());
    candidate.context.run_for(Millis(400));
    CHECK(candidate.election.isLeader());
}
