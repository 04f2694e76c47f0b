#include "gateway/PlatformFollower.h"

#include "base/Log.h"
#include "base/Random.h"
#include "resources/ResourceCodec.h"
#include "web/Signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis firstPause { 50 }; // after a failed read; most failures are one lost connection
    constexpr Millis longestPause { 400 }; // recovery within half a second of the store's return
    constexpr std::string_view everything; // one watch for all keys costs as much as one for a few

    size_t bytesOf(const RangeReply& reply)
    {
        size_t bytes = 0;
        for (const auto& value : reply.values)
            bytes += value.key.size() + value.value.size();
        return bytes;
    }

}

PlatformFollower::PlatformFollower(asio::any_io_executor executor, const Clock& clock, FollowerOptions options,
    Store& store, PlatformView& view, Metrics& metrics, ChangeSink sink, EventSink eventSink)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_options(options)
    , m_store(store)
    , m_view(view)
    , m_sink(std::move(sink))
    , m_eventSink(std::move(eventSink))
    , m_reads(metrics.counter("store_reads"))
    , m_bytesRead(metrics.counter("store_bytes_read"))
    , m_watches(metrics.counter("store_watches"))
    , m_failures(metrics.counter("store_failures"))
    , m_changed(m_executor)
{
}

void PlatformFollower::noteAnswer(bool answers)
{
    if (answers != m_answers)
        logChange(answers ? LogLevel::Info : LogLevel::Warning, answers ? "store-answers" : "store-silent",
            { { "silentMs", (m_clock.now() - m_lastAnswer).count() } });
    m_answers = answers;
    if (answers)
        m_lastAnswer = m_clock.now();
    else
        m_failures.add();
}

void PlatformFollower::noteReading(std::string_view why, Instant begun, const RangeReply& reply)
{
    m_reads.add();
    const size_t bytes = bytesOf(reply);
    m_bytesRead.add(bytes);
    logChange(LogLevel::Info, "store-read",
        { { "why", why }, { "answered", reply.status == StoreStatus::Ok },
            { "tookMs", (m_clock.now() - begun).count() }, { "bytes", bytes }, { "revision", reply.revision },
            { "lastChange", m_view.lastChange() } });
}

asio::awaitable<bool> PlatformFollower::readAll(std::string_view why)
{
    const Instant begun = m_clock.now();
    const RangeReply reply = co_await m_store.range(std::string(everything), true, m_options.callTimeout);
    noteReading(why, begun, reply);
    if (reply.status != StoreStatus::Ok) {
        noteAnswer(false);
        co_return false;
    }
    const bool afterOutage = m_hasRead && outageWasLong();
    noteAnswer(true);
    m_hasRead = true;
    const auto change = m_view.applySnapshot(reply, afterOutage);
    ++m_reading;
    if (m_view.missingAny())
        asio::co_spawn(m_executor, dropMissingLater(m_reading), asio::detached);
    m_sink(change);
    co_return true;
}

void PlatformFollower::expect(std::string key, int64_t revision, Millis within)
{
    if (!m_view.knows(key, revision))
        spawnLoop(m_executor, "item-reader", readItem(std::move(key), revision, within));
}

asio::awaitable<void> PlatformFollower::readItem(std::string key, int64_t revision, Millis within)
{
    co_await sleepFor(within);
    for (Millis pause = firstPause; !m_view.knows(key, revision); pause = std::min(longestPause, pause * 2)) {
        const Instant begun = m_clock.now();
        const RangeReply reply = co_await m_store.range(key, false, m_options.callTimeout);
        noteReading("a large item was missed", begun, reply);
        if (reply.status == StoreStatus::Ok) {
            // Erased meanwhile: that is told like any other change.
            if (!reply.values.empty())
                m_sink(m_view.applyItem(reply.values.front()));
            co_return;
        }
        co_await sleepFor(pause / 2 + randomBelow(pause));
    }
}

asio::awaitable<void> PlatformFollower::dropMissingLater(uint64_t reading)
{
    co_await sleepFor(m_options.entriesReturnWithin);
    // A later reading has looked again, and waits again if the store was away again.
    if (reading != m_reading)
        co_return;
    const auto change = m_view.dropMissing();
    if (change.any())
        m_sink(change);
}

asio::awaitable<void> PlatformFollower::run()
{
    Millis pause = firstPause;
    bool wasFed = false;
    for (;;) {
        if (m_fed && m_hasRead) {
            wasFed = true;
            co_await m_changed.wait(m_options.fedPause);
            continue;
        }
        const std::string_view why = m_hasRead ? "the watch ended" : "start";
        bool ready = false;
        if (wasFed && !outageWasLong())
            ready = co_await readOwnItems();
        else
            ready = co_await readAll(why);
        if (!ready) {
            co_await sleepFor(pause / 2 + randomBelow(pause));
            pause = std::min(longestPause, pause * 2);
            continue;
        }
        wasFed = false;
        pause = firstPause;
        co_await follow();
        // A watch that ends at once must not turn this into a busy loop of reads.
        if (!m_fed)
            co_await sleepFor(randomBelow(2 * firstPause));
    }
}

bool PlatformFollower::outageWasLong() const { return m_clock.now() - m_lastAnswer > m_options.shortOutage; }

// A host whose coordinator has fallen silent goes on from what it was told. A reading of everything takes the smallest
// links more than a second, and all hosts begin theirs at once.
asio::awaitable<bool> PlatformFollower::readOwnItems()
{
    const Instant begun = m_clock.now();
    const RangeReply reply = co_await m_store.range(std::string(storePrefix), true, m_options.callTimeout);
    noteReading("the coordinator is silent", begun, reply);
    const bool answered = reply.status == StoreStatus::Ok;
    noteAnswer(answered);
    if (answered)
        m_sink(m_view.applyOwnItems(reply));
    co_return answered;
}

asio::awaitable<void> PlatformFollower::follow()
{
    Millis pause = firstPause;
    Millis wait = m_options.watchFor;
    while (!m_fed) {
        const WatchEnd end = co_await watchOnce(wait);
        if (end == WatchEnd::Stopped) {
            pause = firstPause;
            wait = m_options.watchFor;
            continue;
        }
        // A lost answer loses no change: the next watch tells it, and at once. After a longer outage entries may have
        // lapsed that come back, which only a reading can treat with care.
        if (end == WatchEnd::HistoryGone || outageWasLong())
            co_return;
        noteAnswer(false);
        wait = m_options.shortWatch;
        pause = std::min(longestPause, pause * 2);
        co_await sleepFor(randomBelow(pause));
    }
}

asio::awaitable<WatchEnd> PlatformFollower::watchOnce(Millis wait)
{
    bool changed = false;
    m_watches.add();
    const WatchEnd end = co_await m_store.watch(std::string(everything), m_view.revision() + 1, wait,
        [&](int64_t revision, const std::vector<WatchEvent>& events) {
            changed = !events.empty();
            noteAnswer(true);
            const int64_t before = m_view.lastChange();
            const auto change = m_view.applyEvents(revision, events);
            if (change.any())
                m_sink(change);
            if (changed)
                m_eventSink(before, events);
            return false; // asked anew, unless this host is fed by then
        });
    if (changed)
        co_await sleepFor(m_options.gather);
    co_return end;
}

void PlatformFollower::fed(int64_t coordinatorsChange, Millis storeSilence)
{
    m_fed = true;
    m_lastAnswer = std::max(m_lastAnswer, m_clock.now() - storeSilence);
    if (coordinatorsChange > m_view.lastChange() && !std::exchange(m_behind, true))
        spawnLoop(m_executor, "catch-up", catchUp(coordinatorsChange));
}

void PlatformFollower::onItsOwn()
{
    if (std::exchange(m_fed, false))
        m_changed.notifyAll();
}

asio::awaitable<void> PlatformFollower::catchUp(int64_t coordinatorsChange)
{
    co_await sleepFor(m_options.newsWithin);
    if (coordinatorsChange > m_view.lastChange()) {
        logChange(LogLevel::Warning, "news-missed",
            { { "lastChange", m_view.lastChange() }, { "coordinators", coordinatorsChange } });
        co_await readAll("news missed");
    }
    m_behind = false;
}

}
