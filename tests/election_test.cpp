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
class VacantOffice final : public LeaderSource {
public:
    int64_t revision() const override { return 1; }
    const LeaderView& leader() const override { return m_nobody; }

private:
    LeaderView m_nobody;
};

struct Standing {
    boost::asio::io_context context;
    SystemClock clock;
    Metrics metrics;
    FakeStore store;
    VacantOffice office;
    Election election;

    explicit Standing(std::function<Millis()> standDelay = {})
        : election(context.get_executor(), clock, optionsWith(std::move(standDelay)), store, office, metrics)
    {
        boost::asio::co_spawn(context, election.run(), boost::asio::detached);
    }

    static ElectionOptions optionsWith(std::function<Millis()> standDelay)
    {
        ElectionOptions options;
        options.host = "host-a";
        options.standDelay = std::move(standDelay);
        return options;
    }
};

}

// What operators saw: every host of a deployment with hashed keys ended by itself a moment after its start. A host that
// is given no delay before it stands for the office called the delay that wasn't there: the compiler takes the wrong
// branch of a condition inside an awaited call.
TEST_CASE("a host without a delay of its own stands for a vacant office and wins it")
{
    Standing standing;
    standing.context.run_for(Millis(300));
    CHECK(standing.election.holds());
    CHECK(standing.election.mayAct());
}

TEST_CASE("a host with a delay waits for it before it stands")
{
    Standing standing([] { return Millis(200); });
    standing.context.run_for(Millis(100));
    CHECK_FALSE(standing.election.holds());
    standing.context.run_for(Millis(400));
    CHECK(standing.election.holds());
}
