// What hosts know after news were lost or delayed on their way through a relay, on loopback.
#include "decisions/KnownChanges.h"
#include "gateway/Announcer.h"
#include "gateway/NewsFanout.h"
#include "peers/Coordination.h"
#include "slow_link.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace cumindale;

namespace {

const std::string loopback = "127.0.0.1";

// A host that records what it receives, and what it takes for complete.
class Receiver final : public CoordinationHandler {
public:
    Receiver(boost::asio::io_context& context, Counter& bytes)
        : m_relay(context.get_executor(), bytes)
        , m_server(makeCoordinationServer(context.get_executor(), loopback, 0, *this, bytes))
    {
    }

    wire::HostAdvice onReport(const wire::HostReport&) override { return {}; }

    void onAdopt(const wire::News& news) override
    {
        for (const auto& item : news.items)
            received.insert(item.revision);
        bool readable = true;
        for (const auto& packed : news.packedItems) {
            const auto items = unpackItems(packed);
            readable = readable && items;
            for (const auto& item : items.value_or(std::vector<wire::StoreItem> {}))
                received.insert(item.revision);
        }
        if (!news.forwardTo.empty())
            m_relay.forward(news);
        if (readable)
            known.add(news.afterChange, news.lastChange);
    }

    bool has(int64_t revision) const { return received.count(revision) > 0; }
    std::string address() const { return loopback + ":" + std::to_string(m_server->port()); }

    std::set<int64_t> received; // revisions
    KnownChanges known;

private:
    NewsRelay m_relay;
    std::unique_ptr<FrameServer> m_server;
};

// The message with the change of one revision.
wire::News newsOf(int64_t revision)
{
    wire::News news;
    news.afterChange = revision - 1;
    news.lastChange = revision;
    wire::StoreItem& item = news.items.emplace_back();
    item.key = "servers/i-" + std::to_string(revision);
    item.revision = revision;
    return news;
}

const std::string documentKey = "op/config";
constexpr size_t documentBytes = 100'000;

std::string randomBytes(size_t count)
{
    static std::mt19937 engine { 7 };
    std::string bytes(count, 0);
    for (char& byte : bytes)
        byte = static_cast<char>(engine());
    return bytes;
}

// Half of its bytes remain when it is packed, more than of servers' entries.
std::string randomText(size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text = randomBytes(count);
    for (char& c : text)
        c = digits[static_cast<unsigned char>(c) % digits.size()];
    return text;
}

std::vector<WatchEvent> entriesOf(int64_t after, int64_t last, size_t valueBytes)
{
    std::vector<WatchEvent> events;
    for (int64_t revision = after + 1; revision <= last; ++revision)
        events.push_back({ false, { "servers/i-" + std::to_string(revision), randomText(valueBytes), revision } });
    return events;
}

// A coordinator and a group of hosts, whose relay forwards over the smallest link.
struct Group {
    static constexpr size_t members = 11; // without the relay
    static constexpr size_t smallestLink = 1'250; // bytes per ms: 10 Mbit/s

    boost::asio::io_context context;
    SystemClock clock;
    Counter bytes;
    Announcer announcer { context.get_executor(), clock, bytes,
        [](std::string_view key) { return key == documentKey; } };
    SlowLink link { context, clock, smallestLink };
    std::vector<std::unique_ptr<Receiver>> hosts;

    Group()
    {
        for (size_t i = 0; i <= members; ++i) {
            hosts.push_back(std::make_unique<Receiver>(context, bytes));
            const bool isRelay = i == 0;
            wire::HostReport report;
            report.sender = "host-" + std::to_string(i);
            report.address = isRelay ? hosts[i]->address() : link.addressOf(hosts[i]->address());
            report.dataCentre = "dc-1";
            report.strengthCenti = isRelay ? 50 : 10;
            report.readsPacked = true;
            announcer.updateHost(report);
        }
    }

    bool runUntil(const std::function<bool()>& done, Millis atMost)
    {
        const Instant until = clock.now() + atMost;
        while (!done() && clock.now() < until)
            context.run_for(Millis(5));
        return done();
    }

    size_t hostsWith(int64_t revision) const
    {
        return static_cast<size_t>(
            std::count_if(hosts.begin(), hosts.end(), [&](const auto& host) { return host->has(revision); }));
    }
};

}

TEST_SUITE("gaps")
{
    // Guards against a host that takes a document for received that it never got: its relay hadn't got the message with
    // the document, and merged the ones before and after while another was in flight. The next answer of the
    // coordinator then doesn't repeat the document.
    TEST_CASE("messages around one that a relay never got don't pass for complete")
    {
        boost::asio::io_context context;
        Counter bytes;
        Receiver member(context, bytes);
        NewsRelay relay(context.get_executor(), bytes);
        const auto forward = [&](int64_t revision) {
            wire::News news = newsOf(revision);
            news.forwardTo = { member.address() };
            relay.forward(news);
        };
        context.run_for(Millis(10));
        forward(1);
        context.run_one(); // the message is in flight
        forward(2);
        SUBCASE("a message is missing")
        {
            forward(4);
            context.run_for(Millis(100));
            CHECK(member.has(4));
            CHECK(member.known.complete() == 2);
            // What the coordinator repeats closes the gap.
            member.known.add(2, 3);
            CHECK(member.known.complete() == 4);
        }
        SUBCASE("none is missing")
        {
            forward(3);
            context.run_for(Millis(100));
            CHECK(member.received == std::set<int64_t> { 1, 2, 3 });
            CHECK(member.known.complete() == 3);
        }
    }
}

TEST_SUITE("division")
{
    size_t bytesUpTo(const std::vector<wire::StoreItem>& items, const wire::StoreItem& last)
    {
        return bytesOf(std::vector<wire::StoreItem>(items.data(), &last + 1));
    }

    // Guards against changes that a host takes for received although their message was lost.
    TEST_CASE("divided news cover all changes without a gap, each with its items, and are of limited size")
    {
        CHECK(rc::check([] {
            std::vector<wire::StoreItem> items;
            int64_t revision = 5;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
            for (const int step : steps) {
                revision += step;
                wire::StoreItem& item = items.emplace_back();
                item.key = *rc::gen::inRange(0, 10) ? "servers/i-" + std::to_string(items.size()) : documentKey;
                item.value = std::string(*rc::gen::inRange<size_t>(0, maxNewsBytes / 2), 'x');
                item.revision = revision;
            }
            const int64_t last = revision + 3;
            const auto isDocument = [](std::string_view key) { return key == documentKey; };
            int64_t covered = 5;
            size_t found = 0;
            for (const auto& news : divideNews(covered, last, items, isDocument)) {
                RC_ASSERT(news.afterChange == covered);
                RC_ASSERT(news.lastChange >= covered);
                covered = news.lastChange;
                size_t bytes = 0; // without further items of the last revision, which stay with the first one
                int64_t previous = 0;
                for (const auto& item : news.items) {
                    RC_ASSERT(item.revision <= news.lastChange);
                    RC_ASSERT(item.revision > news.afterChange || item.revision <= 5);
                    RC_ASSERT(news.urgent || !isDocument(item.key));
                    if (std::exchange(previous, item.revision) != item.revision)
                        bytes = bytesUpTo(news.items, item);
                }
                found += news.items.size();
                RC_ASSERT(news.urgent || news.items.front().revision == previous || bytes <= maxNewsBytes);
            }
            RC_ASSERT(items.empty() || covered == last);
            RC_ASSERT(found <= items.size());
        }));
    }
}

// Guards against hosts that take for new what they have missed: a server's time to leave would begin anew.
TEST_CASE_FIXTURE(Group, "what a host has missed is told with its age")
{
    int64_t entries = 0;
    SUBCASE("a few entries") { entries = 3; }
    SUBCASE("many entries, which are packed") { entries = 400; }
    announcer.onStoreChanges(0, entries, entriesOf(0, entries, 512), false);
    wire::HostReport report;
    report.sender = "behind";
    report.readsPacked = true;
    for (const Millis age : { Millis(500), Millis(1'000) }) {
        context.run_for(Millis(500));
        wire::HostAdvice advice;
        announcer.addMissedChanges(report, {}, true, advice);
        std::vector<wire::StoreItem> items = advice.missed.items;
        for (const auto& packed : advice.missed.packedItems)
            items = unpackItems(packed).value();
        REQUIRE(items.size() == static_cast<size_t>(entries));
        for (const auto& item : items)
            CHECK((item.ageMillis >= age.count() && item.ageMillis < age.count() + 200));
    }
}

TEST_SUITE("documents")
{
    // The relay sends one copy to each member. Its link may have to carry as much again, in a message that is in
    // flight.
    constexpr Millis soon { 300 + 2 * Group::members * documentBytes / Group::smallestLink };

    // Guards against new routes that are unknown for many seconds, and requests for them that are refused: the document
    // waited on the relay behind the entries of thousands of servers, and was lost with them when their message timed
    // out.
    TEST_CASE_FIXTURE(Group, "a document doesn't wait behind servers' entries, however many there are")
    {
        constexpr int64_t entries = 4'000;
        announcer.onStoreChanges(0, entries, entriesOf(0, entries, 512), true);
        context.run_for(Millis(200)); // the first of them are in flight
        SUBCASE("after the entries")
        {
            const WatchEvent document { false, { documentKey, randomBytes(documentBytes), entries + 1 } };
            announcer.onStoreChanges(entries, entries + 1, { document }, true);
        }
        SUBCASE("in one answer of the store with further entries")
        {
            auto events = entriesOf(entries, entries + 2'000, 512);
            events.front().value = { documentKey, randomBytes(documentBytes), entries + 1 };
            announcer.onStoreChanges(entries, entries + 2'000, events, true);
        }
        CHECK(runUntil([&] { return hostsWith(entries + 1) == hosts.size(); }, soon));
        CHECK(hostsWith(entries + 1) == hosts.size());
        CHECK(hosts.back()->known.complete() < entries); // most of the entries are still on their way
        // No host takes more for complete than it has received.
        context.run_for(Millis(1'000));
        for (const auto& host : hosts) {
            int64_t received = 0;
            while (host->has(received + 1))
                ++received;
            CHECK(host->known.complete() <= received);
        }
    }

    // Guards against a document that never reaches the group of a relay with a small link: each copy was given the time
    // that it needs alone, while the link carries eleven of them.
    TEST_CASE_FIXTURE(Group, "a large document reaches all members of a group over the smallest link")
    {
        const WatchEvent document { false, { documentKey, randomBytes(documentBytes), 1 } };
        announcer.onStoreChanges(0, 1, { document }, true);
        CHECK(runUntil([&] { return hostsWith(1) == hosts.size(); }, soon));
        CHECK(hostsWith(1) == hosts.size());
    }

    // Guards against hosts that wait for the end of a burst of operators' changes, version after version.
    TEST_CASE_FIXTURE(Group, "of two documents in quick succession the newer one isn't behind the older one")
    {
        for (int64_t revision = 1; revision <= 4; ++revision) {
            const WatchEvent document { false, { documentKey, randomBytes(documentBytes), revision } };
            announcer.onStoreChanges(revision - 1, revision, { document }, true);
            context.run_for(Millis(20));
        }
        CHECK(runUntil([&] { return hostsWith(4) == hosts.size(); }, soon));
        CHECK(hostsWith(4) == hosts.size());
        CHECK(runUntil([&] { return hosts.back()->known.complete() == 4; }, soon));
    }
}

TEST_SUITE("answers")
{
    wire::HostAdvice answerTo(
        Announcer & announcer, int64_t lastChange, int64_t rulesKnown = 0, bool mayBeLarge = false)
    {
        wire::HostReport report;
        report.sender = "host-d";
        report.lastChange = lastChange;
        report.rulesKnown = rulesKnown;
        report.readsPacked = true;
        wire::HostAdvice advice;
        announcer.addMissedChanges(report, {}, mayBeLarge, advice);
        return advice;
    }

    // Guards against a document that waits with the entries of thousands of servers, which the coordinator leaves to a
    // later answer while its link is busy.
    TEST_CASE_FIXTURE(
        Group, "an answer carries a missed document while entries must wait, and counts only what it carries")
    {
        constexpr int64_t known = 10;
        constexpr int64_t documentAt = 30;
        auto events = entriesOf(known, 60, 256);
        events[documentAt - known - 1].value = { documentKey, randomBytes(20'000), documentAt };
        announcer.onStoreChanges(known, 60, events, false);
        const wire::HostAdvice advice = answerTo(announcer, known);
        CHECK(advice.missedLater);
        REQUIRE(advice.missed.items.size() == 1);
        CHECK(advice.missed.items.front().key == documentKey);
        CHECK(advice.missed.items.front().revision == documentAt);
        // The host knows no more changes than before, so that a later answer repeats the others.
        CHECK(advice.missed.afterChange == known);
        CHECK(advice.missed.lastChange == known);
        const wire::HostAdvice whole = answerTo(announcer, known, documentAt, true);
        CHECK_FALSE(whole.missedLater);
        CHECK(whole.missed.lastChange == 60);
    }

    // Guards against a coordinator that sends a document of 100 kB with each answer for as long as entries must wait.
    TEST_CASE_FIXTURE(Group, "a document isn't repeated to a host that has it, nor beyond a part of the link")
    {
        constexpr int64_t documentAt = 100;
        auto events = entriesOf(0, 200, 256);
        events[documentAt - 1].value = { documentKey, randomBytes(documentBytes), documentAt };
        announcer.onStoreChanges(0, 200, events, false);
        CHECK(answerTo(announcer, 0, documentAt).missed.items.empty());
        CHECK(answerTo(announcer, 0, documentAt - 1).missed.items.size() == 1);
        size_t sent = 0;
        for (int i = 0; i < 300; ++i)
            sent += bytesOf(answerTo(announcer, 0, 1).missed.items);
        CHECK(sent < 10'000'000);
        context.run_for(Millis(1'100));
        CHECK(answerTo(announcer, 0, 1).missed.items.size() == 1);
        // A host of the former version doesn't say which document it has. It is sent a document once.
        CHECK(answerTo(announcer, 0).missed.items.size() == 1);
        CHECK(answerTo(announcer, 0).missed.items.empty());
    }

    // Guards against a host that is too far behind for the history, and learns of new routes only by reading all
    // entries.
    TEST_CASE_FIXTURE(Group, "an answer carries a missed document to a host that must read the store")
    {
        announcer.onStoreChanges(50, 51, { { false, { documentKey, randomBytes(1'000), 51 } } }, false);
        const wire::HostAdvice advice = answerTo(announcer, 10, 9);
        REQUIRE(advice.missed.items.size() == 1);
        CHECK(advice.missed.lastChange == 10);
        CHECK_FALSE(advice.missedLater);
    }
}

TEST_SUITE("closed connections")
{
    // Guards against a document that no member of a group receives after a quiet minute: the receivers had closed the
    // idle connections, and the relay lost its message over each of them.
    TEST_CASE("news arrive over a connection that the receiver has closed meanwhile")
    {
        boost::asio::io_context context;
        SystemClock clock;
        Counter bytes;
        Receiver member(context, bytes);
        SlowLink link(context, clock, Group::smallestLink);
        NewsRelay relay(context.get_executor(), bytes);
        const std::string address = link.addressOf(member.address());
        for (int64_t revision = 1; revision <= 2; ++revision) {
            wire::News news = newsOf(revision);
            news.forwardTo = { address };
            relay.forward(news);
            context.run_for(Millis(100));
            CHECK(member.has(revision));
            link.closeConnections();
            context.run_for(Millis(20));
        }
    }
}
