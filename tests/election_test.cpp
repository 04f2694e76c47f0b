// Tests of leader election: when a host campaigns and becomes the leader.
#include "control/Election.h"
#include "fake_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace cumindale;
using namespace cumindale::fixture;

namespace {

// The view of a store that has been read and has no leader.
class NoLeaderSource final : public LeaderSource {
public:
    bool knowsLeader() const override { return true; }
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

// Guards against a crash just after the start of every host of a deployment with hashed keys. The compiler takes the
// wrong branch of a conditional expression inside a co_await, so a host without a campaignDelay called the empty
// function.
TEST_CASE("a host without a campaign delay becomes the leader if there is none")
{
    ElectionFixture candidate;
    candidate.context.run_for(Millis(300));
    CHECK(candidate.election.isLeader());
    CHECK(candidate.election.mayAct());
}

TEST_CASE("a host with a campaign delay waits for it before it campaigns")
{
    ElectionFixture candidate([] { return Millis(200); });
    candidate.context.run_for(Millis(100));
    CHECK_FALSE(candidate.election.isLeader());
    candidate.context.run_for(Millis(400));
    CHECK(candidate.election.isLeader());
}
