// Tests of configuration: accepted writes are committed, lost answers are resolved, concurrent writes are reported as
// conflicts, and no host goes back to an older configuration.
#include "control/ClusterView.h"
#include "control/StoreFollower.h"
#include "fake_store.h"
#include "operators/ResourceWriter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace cumindale;
using namespace cumindale::fixture;
using Fault = FakeStore::Fault;

namespace {

template <typename Result> Result runNow(boost::asio::awaitable<Result> task)
{
    boost::asio::io_context context;
    std::optional<Result> result;
    boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr error, Result value) {
        REQUIRE(!error);
        result = std::move(value);
    });
    context.run();
    return *result;
}

ResourceDocument service(const std::string& name, int64_t longestWork = 1000)
{
    ResourceDocument document;
    document.kind = "Service";
    document.name = name;
    document.spec
        = { { "pathPrefix", "/" + name + "/" }, { "key", { { "header", "K" } } }, { "longestWorkMs", longestWork } };
    return document;
}

WriteRequest order(ResourceDocument document, std::string operation, std::optional<int64_t> expected = std::nullopt)
{
    return { std::move(document), false, expected, std::move(operation) };
}

class Operators {
public:
    WriteResult write(WriteRequest one, Millis within = Millis(2000))
    {
        return runNow(m_writer.write(std::move(one), within));
    }
    FakeStore store;

private:
    SystemClock m_clock;
    Metrics m_metrics;
    ResourceWriter m_writer { m_clock, store, m_metrics };
};

WatchEvent event(const std::string& key, const std::string& text, int64_t revision, bool erased = false)
{
    return { erased, { key, text, revision, revision } };
}

class NoEvents final : public FollowerEvents {
public:
    void onViewChange(const ViewChange&) override { }
    void onStoreRead() override { }
};

}

TEST_CASE("a write whose answer was lost is found by its operation id and not written twice")
{
    // Guards against reporting a conflict with the operator's own change: the write takes effect but its answer is
    // lost, and the retry compares with the revision before the write.
    Operators operators;
    operators.store.txnFaults = { Fault::AnswerLost };
    const WriteResult result = operators.write(order(service("a"), "op-1", 0));
    CHECK(result.outcome == WriteOutcome::Committed);
    CHECK(operators.store.writes == 1);
}

TEST_CASE("a committed write is found by its operation id even if another write has replaced it")
{
    Operators operators;
    operators.write(order(service("a", 1000), "op-1"));
    operators.write(order(service("a", 2000), "op-2"));
    CHECK(operators.write(order(service("a", 1000), "op-1")).outcome == WriteOutcome::Committed);
    CHECK(operators.store.writes == 2);
    CHECK(operators.store.values[resourceKey("Service", "a")].value.find("2000") != std::string::npos);
}

TEST_CASE("of two concurrent writes the second gets a conflict with the current revision")
{
    Operators operators;
    const int64_t first = operators.write(order(service("a"), "op-1", 0)).revision;
    const int64_t second = operators.write(order(service("a", 2000), "op-2", first)).revision;
    const WriteResult loser = operators.write(order(service("a", 3000), "op-3", first));
    CHECK(loser.outcome == WriteOutcome::Conflict);
    CHECK(loser.revision == second);
}

TEST_CASE("a reference is checked against the committed configuration, not against an earlier read")
{
    // Guards against a server that refers to a missing service: one operator deletes the service just after the check
    // of another operator's server has found it.
    Operators operators;
    operators.write(order(service("a"), "op-1"));
    ResourceDocument server;
    server.kind = "BackendServer";
    server.name = "s";
    server.spec = { { "service", "a" }, { "address", "127.0.0.1" }, { "port", 1 }, { "dataCentre", "d" } };
    operators.store.beforeTxn = [&] {
        operators.store.values.erase(resourceKey("Service", "a"));
        operators.store.put(std::string(storePrefix) + "resources/.guard", "[\"op-9\"]");
    };
    const WriteResult result = operators.write(order(server, "op-2"));
    CHECK(result.outcome == WriteOutcome::Invalid);
    CHECK(result.fault.field == "BackendServer/s spec.service");
}

TEST_CASE("without an answer of the store a write is reported as not written or as unknown")
{
    Operators operators;
    operators.store.rangeFaults = std::deque<Fault>(100, Fault::Down);
    CHECK(operators.write(order(service("a"), "op-1"), Millis(250)).outcome == WriteOutcome::StoreUnavailable);
    operators.store.rangeFaults = { Fault::None };
    operators.store.rangeFaults.insert(operators.store.rangeFaults.end(), 100, Fault::Down);
    operators.store.txnFaults = { Fault::AnswerLost };
    CHECK(operators.write(order(service("a"), "op-2"), Millis(250)).outcome == WriteOutcome::Unknown);
}

TEST_CASE("a host's view never goes back to an older state, whatever the order of updates")
{
    ClusterView view;
    const std::string key = resourceKey("Service", "a");
    view.applyEvents(7, { event(key, encodeStoredResource({ service("a", 2000), "op-2" }), 7) });
    CHECK_FALSE(view.applyEvents(5, { event(key, encodeStoredResource({ service("a", 1000), "op-1" }), 5) }).any());
    CHECK(view.resources()->services.at("a").longestWork == Millis(2000));
    view.applyEvents(9, { event(key, "", 9, true) });
    CHECK(view.resources()->services.empty());
    CHECK_FALSE(view.applyEvents(8, { event(key, encodeStoredResource({ service("a", 1000), "op-1" }), 8) }).any());
    CHECK(view.resources()->services.empty());

    SliceTable table;
    table.service = "a";
    table.version = 5;
    table.slices.push_back({});
    CHECK(view.applyTable(table, 20).any());
    table.version = 4;
    CHECK_FALSE(view.applyTable(table, 21).any());
    CHECK(view.table("a")->version == 5);
}

TEST_CASE("resources and their deletions reach another host through peers, and both views are then equal")
{
    ClusterView first;
    first.applyEvents(7, { event(resourceKey("Service", "a"), encodeStoredResource({ service("a"), "op-1" }), 7) });
    first.applyEvents(8, { event(resourceKey("Service", "b"), "", 8, true) });
    ClusterView second;
    CHECK(second.applyPeerResources(first.resourcesForPeers()).resources);
    CHECK(second.resources()->services.count("a") == 1);
    CHECK(second.resources()->revision == first.resources()->revision);
    CHECK_FALSE(second.applyPeerResources(first.resourcesForPeers()).any());
}

TEST_CASE("a store that went back to an older state is refused and reported until it has caught up")
{
    // Guards against an accepted change being undone on all hosts: the platform restores the store from a backup, and
    // the hosts read it as the newest state.
    const SystemClock clock;
    const Settings settings;
    FakeStore store;
    ClusterView view;
    RoutingLease routingLease("host", {});
    Metrics metrics;
    NoEvents events;
    StoreFollower follower(clock, settings, store, view, routingLease, metrics, events);
    store.revision = 50;
    store.put(resourceKey("Service", "a"), encodeStoredResource({ service("a", 2000), "op-2" }));
    store.put(resourceKey("Service", "b"), encodeStoredResource({ service("b"), "op-2" }));
    CHECK(runNow(follower.readAll()));
    store.revision = 40;
    store.values[resourceKey("Service", "a")]
        = { resourceKey("Service", "a"), encodeStoredResource({ service("a", 1000), "op-1" }), 40 };
    CHECK_FALSE(runNow(follower.readAll()));
    CHECK(follower.storeWentBack());
    CHECK(view.resources()->services.at("a").longestWork == Millis(2000));
    store.revision = 60;
    const KeyValue other = store.values.extract(resourceKey("Service", "b")).mapped();
    CHECK_FALSE(runNow(follower.readAll())); // the revision has caught up, but an accepted service is still missing
    CHECK(view.resources()->services.count("b") == 1);
    store.put(other.key, other.value);
    store.put(resourceKey("Service", "a"), encodeStoredResource({ service("a", 3000), "op-3" }));
    CHECK(runNow(follower.readAll()));
    CHECK_FALSE(follower.storeWentBack());
    CHECK(view.resources()->services.at("a").longestWork == Millis(3000));
}
