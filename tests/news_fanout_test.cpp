// Tests the distribution of news from a coordinator through relays to hosts on loopback.
#include "gateway/NewsFanout.h"

#include "slow_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace cumindale;

namespace {

const std::string loopback = "127.0.0.1";

// A host that counts the items that it receives, and forwards news if asked to.
class RecordingHost final : public CoordinationHandler {
public:
    RecordingHost(boost::asio::io_context& context, Counter& bytes)
        : m_relay(context.get_executor(), bytes)
        , m_server(makeCoordinationServer(context.get_executor(), loopback, 0, *this, bytes))
    {
    }

    wire::HostAdvice onReport(const wire::HostReport&) override { return {}; }

    void onAdopt(const wire::News& news) override
    {
        forwardAddresses += news.forwardTo.size();
        tables += news.packedTables.size();
        items += news.items.size();
        for (const auto& packed : news.packedItems)
            packedItems += unpackItems(packed).value_or(std::vector<wire::StoreItem> {}).size();
        if (!news.forwardTo.empty() && forwardsNews)
            m_relay.forward(news);
    }

    std::string address() const { return loopback + ":" + std::to_string(m_server->port()); }
    void stop() { m_server.reset(); }

    size_t items = 0; // that came as they are
    size_t packedItems = 0;
    size_t tables = 0;
    size_t forwardAddresses = 0; // to which this host was asked to forward news
    bool forwardsNews = true;

private:
    NewsRelay m_relay;
    std::unique_ptr<FrameServer> m_server;
};

struct Fleet {
    boost::asio::io_context context;
    SystemClock clock;
    Metrics metrics;
    Counter& bytes = metrics.counter("bytes");
    NewsFanout fanout { context.get_executor(), clock, bytes };
    std::vector<std::unique_ptr<RecordingHost>> hosts;

    explicit Fleet(size_t count, bool readPacked = false)
    {
        for (size_t i = 0; i < count; ++i) {
            hosts.push_back(std::make_unique<RecordingHost>(context, bytes));
            const double strength = i ? 0.1 : 0.5; // the first host becomes the relay
            fanout.updateHost("host-" + std::to_string(i), hosts[i]->address(), "dc-1", strength, readPacked);
        }
    }

    void publish(int64_t change)
    {
        wire::News news;
        news.afterChange = change - 1;
        news.lastChange = change;
        wire::StoreItem item;
        item.key = "k";
        item.revision = change;
        news.items.push_back(item);
        fanout.publish(news);
        context.run_for(Millis(50));
    }

    size_t totalItems() const
    {
        size_t items = 0;
        for (const auto& host : hosts)
            items += host->items;
        return items;
    }
};

}

// Guards against messages that their receiver can't read, and that count as lost.
TEST_CASE("items that can't be compressed can be packed and unpacked")
{
    uint64_t state = 1;
    for (size_t bytes = 1; bytes < 40'000; bytes += bytes / 3 + 1) {
        CAPTURE(bytes);
        wire::StoreItem item;
        item.key = "k";
        for (size_t i = 0; i < bytes; ++i) {
            state = state * 6364136223846793005U + 1442695040888963407U;
            item.value.push_back(static_cast<char>(state >> 56));
        }
        const auto unpacked = unpackItems(packItems({ item }));
        REQUIRE(unpacked);
        REQUIRE(unpacked->size() == 1);
        CHECK(unpacked->front().value == item.value);
    }
}

TEST_CASE("the coordinator sends one copy per group, and each host receives the news once")
{
    Fleet fleet(6);
    fleet.publish(1);
    fleet.publish(2);
    CHECK(fleet.hosts[0]->forwardAddresses == 10);
    for (const auto& host : fleet.hosts)
        CHECK(host->items == 2);
}

// Guards against late news after the loss of a relay: a new route was in force on most hosts, but only two seconds
// later on those whose relay had been killed just before.
TEST_CASE("when a relay fails, its group receives the news directly, and through another relay from then on")
{
    Fleet fleet(6);
    fleet.publish(1);
    fleet.hosts[0]->stop();
    fleet.context.run_for(Millis(10));
    fleet.publish(2);
    fleet.context.run_for(Millis(400));
    for (size_t i = 1; i < 6; ++i)
        CHECK(fleet.hosts[i]->items == 2);
    fleet.publish(3);
    for (size_t i = 1; i < 6; ++i)
        CHECK(fleet.hosts[i]->items == 3);
}

// Guards against a coordinator that takes all of its relays for lost since its own link needs longer for a table than
// one relay's link, and then sends a copy to each host.
TEST_CASE("a table reaches all hosts through many relays, over the link that these share")
{
    constexpr size_t dataCentres = 40;
    constexpr size_t groupSize = 4; // with its relay
    constexpr size_t tableBytes = 200'000;
    constexpr size_t coordinatorsLink = 12'500; // bytes per ms: 100 Mbit/s
    Fleet fleet(0);
    SlowLink link(fleet.context, fleet.clock, coordinatorsLink);
    for (size_t i = 0; i < groupSize * dataCentres; ++i) {
        const bool isRelay = i % groupSize == 0;
        const auto& host = fleet.hosts.emplace_back(std::make_unique<RecordingHost>(fleet.context, fleet.bytes));
        fleet.fanout.updateHost("host-" + std::to_string(i),
            isRelay ? link.addressOf(host->address()) : host->address(), "dc-" + std::to_string(i / groupSize),
            isRelay ? 0.5 : 0.1, true);
    }
    wire::News news;
    news.packedTables.emplace_back().value = std::string(tableBytes, 'x');
    fleet.fanout.publish(news);
    fleet.context.run_for(Millis(3'000));
    size_t relayed = 0;
    for (const auto& host : fleet.hosts) {
        CHECK(host->tables == 1);
        relayed += host->forwardAddresses;
    }
    CHECK(relayed == dataCentres * (groupSize - 1));
    CHECK(fleet.bytes.value() < (groupSize * dataCentres + 1) * tableBytes); // one copy to each host
}

// Guards against a coordinator whose leadership isn't renewed in time, since a table to all relays fills its link.
TEST_CASE("a table to many relays is sent to a few at a time")
{
    using boost::asio::ip::tcp;
    constexpr size_t relays = 40;
    constexpr size_t tableBytes = 130'000;
    constexpr size_t mostBytes = 1'000'000; // 80 ms of a link of 100 Mbit/s
    Fleet fleet(0);
    std::vector<std::unique_ptr<tcp::acceptor>> silentHosts; // they accept connections and answer nothing
    for (size_t i = 0; i < relays; ++i) {
        const tcp::endpoint any(boost::asio::ip::make_address(loopback), 0);
        const auto& silent = silentHosts.emplace_back(std::make_unique<tcp::acceptor>(fleet.context, any));
        fleet.fanout.updateHost("host-" + std::to_string(i),
            loopback + ":" + std::to_string(silent->local_endpoint().port()), "dc-" + std::to_string(i), 0.5, true);
    }
    wire::News news;
    news.packedTables.emplace_back().value = std::string(tableBytes, 'x');
    fleet.fanout.publish(news);
    fleet.context.run_for(Millis(50));
    MESSAGE(fleet.bytes.value(), " bytes in 50 ms");
    CHECK(fleet.bytes.value() > tableBytes);
    CHECK(fleet.bytes.value() < mostBytes);
}

TEST_CASE("a removed host receives no more news")
{
    Fleet fleet(2);
    fleet.publish(1);
    fleet.fanout.removeHost("host-1");
    fleet.publish(2);
    CHECK(fleet.hosts[0]->items == 2);
    CHECK(fleet.hosts[1]->items == 1);
}

// Guards against a start that fills the coordinator's memory: the entries of 10,000 servers wait for each of 82 relays,
// or for each host of a relay whose small link takes longer for them than a message may.
TEST_CASE("many items are sent packed, in a third of their bytes, and as they are to hosts that can't read that")
{
    uint64_t plainBytes = 0;
    for (const bool readPacked : { false, true }) {
        CAPTURE(readPacked);
        Fleet fleet(8, readPacked);
        wire::News news;
        news.lastChange = 200;
        for (int64_t i = 1; i <= 200; ++i) {
            wire::StoreItem item;
            item.key = "servers/i-" + std::to_string(i * 7'919 % 100'003);
            item.value = R"({"service":"desk","address":"10.1.)" + std::to_string(i)
                + R"(.7:8063","zone":"dc-1",)"
                  R"("version":"v1","slots":4,"state":"ready","warmup_left_s":0,"sequence":17,"born":1796310400000})";
            item.revision = i;
            news.items.push_back(item);
        }
        fleet.fanout.publish(news);
        fleet.context.run_for(Millis(100));
        for (const auto& host : fleet.hosts) {
            CHECK(host->items == (readPacked ? 0 : 200));
            CHECK(host->packedItems == (readPacked ? 200 : 0));
        }
        if (!readPacked)
            plainBytes = fleet.bytes.value();
        else
            CHECK(fleet.bytes.value() * 3 < plainBytes);
    }
}

TEST_CASE("packed items that can't be read are recognized")
{
    wire::PackedItems packed = packItems({ {}, {} });
    CHECK(unpackItems(packed).value_or(std::vector<wire::StoreItem> {}).size() == 2);
    wire::PackedItems wrongSize = packed;
    wrongSize.plainBytes += 1;
    CHECK_FALSE(unpackItems(wrongSize));
    wire::PackedItems spoiled = packed;
    spoiled.value = "not deflated";
    CHECK_FALSE(unpackItems(spoiled));
    wire::PackedItems negative = packed;
    negative.plainBytes = -1;
    CHECK_FALSE(unpackItems(negative));
}
