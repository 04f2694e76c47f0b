#include "gateway/PlatformFollower.h"

#include "base/Log.h"
#include "base/Random.h"
#include "decisions/EntryReads.h"
#include "resources/ResourceCodec.h"
#include "web/Signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis phaseSteps { 10'000 }; // number of phases, of which each host takes one
    constexpr std::string_view allKeys; // one watch for all keys costs as much as one for a few

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
    , m_changeSink(std::move(sink))
    , m_eventSink(std::move(eventSink))
    , m_reads(metrics.counter("store_reads"))
    , m_bytesRead(metrics.counter("store_bytes_read"))
    , m_watches(metrics.counter("store_watches"))
    , m_failures(metrics.counter("store_failures"))
    , m_leaderWatchChanged(m_executor)
    , m_reader(store, clock)
    , m_readPhase(static_cast<double>(randomUpTo(phaseSteps).count()) / static_cast<double>(phaseSteps.count()))
    , m_modeChanged(m_executor)
{
}

void PlatformFollower::recordAnswer(bool answers)
{
    if (answers != m_storeAnswers)
        logChange(answers ? LogLevel::Info : LogLevel::Warning, answers ? "store-answers" : "store-silent",
            { { "silentMs", (m_clock.now() - m_lastAnswer).count() } });
    m_storeAnswers = answers;
    if (answers)
        m_lastAnswer = m_clock.now();
    else
        m_failures.add();
}

void PlatformFollower::recordOtherAnswer()
{
    if (!m_followsCoordinator)
        return; // the watch of all keys tells
    m_hadOutage = outageWasLong();
    m_lastAnswer = m_clock.now();
}

void PlatformFollower::recordRead(std::string_view why, Instant begun, const RangeReply& reply, bool complete)
{
    m_reads.add();
    const size_t bytes = bytesOf(reply);
    m_bytesRead.add(bytes);
    logChange(LogLevel::Info, "store-read",
        { { "why", why }, { "answered", reply.status == StoreStatus::Ok }, { "complete", complete },
            { "tookMs", (m_clock.now() - begun).count() }, { "pages", reply.pages }, { "failure", reply.failure },
            { "bytes", bytes }, { "revision", reply.revision }, { "lastChange", m_view.lastChange() } });
}

// Of changes that arrive now. A watch that is pending brings changes at once.
Millis PlatformFollower::oldestChangeAge() const
{
    const Instant known = std::max(m_changesKnownAt, m_lastWatchAnswer);
    if (known == Instant {})
        return Millis(0);
    return std::max(Millis(0), m_clock.now() - known - m_options.watchDuration);
}

// A copy with the age of each, if they may be old; else none.
std::vector<WatchEvent> PlatformFollower::lateEvents(const std::vector<WatchEvent>& events) const
{
    const Millis age = oldestChangeAge();
    if (age == Millis(0))
        return {};
    std::vector<WatchEvent> late = events;
    for (auto& event : late)
        event.value.age = age;
    return late;
}

asio::awaitable<bool> PlatformFollower::readAll(std::string_view why, EntryReader& reader, size_t maxEntries)
{
    const EntryReader::Result result = co_await reader.read(maxEntries, m_options.callTimeout);
    const Instant begun = reader.begunAt();
    recordRead(why, begun, reader.reply(), result == EntryReader::Result::Complete);
    if (result != EntryReader::Result::Complete) {
        recordAnswer(result != EntryReader::Result::Failed);
        if (result == EntryReader::Result::Paused)
            awaitSnapshot();
        co_return false;
    }
    RangeReply reply = reader.take();
    const bool afterOutage = m_hasSnapshot && outageWasLong();
    const Millis age = oldestChangeAge();
    for (auto& value : reply.values)
        value.age = age;
    recordAnswer(true);
    m_hadOutage = false;
    m_hasSnapshot = true;
    m_needsSnapshot = false;
    m_changesKnownAt = begun;
    m_polled.onRevision(reply.revision);
    const auto change = m_view.applySnapshot(reply, afterOutage);
    m_view.confirmRules(begun, reply.revision);
    ++m_snapshotNumber;
    if (m_view.hasMissingServers())
        asio::co_spawn(m_executor, removeMissingAfterDelay(m_snapshotNumber), asio::detached);
    m_changeSink(change);
    co_return true;
}

void PlatformFollower::readItemIfMissed(std::string key, int64_t revision, Millis timeout)
{
    if (!m_view.knows(key, revision))
        spawnLoop(m_executor, "item-reader", readItem(std::move(key), revision, timeout));
}

asio::awaitable<void> PlatformFollower::readItem(std::string key, int64_t revision, Millis timeout)
{
    co_await sleepFor(timeout);
    for (Millis backoff = initialBackoff; !m_view.knows(key, revision); backoff = std::min(maxBackoff, backoff * 2)) {
        const Instant begun = m_clock.now();
        const RangeReply reply = co_await m_store.range(key, false, m_options.callTimeout);
        recordRead("a large item was missed", begun, reply, reply.status == StoreStatus::Ok);
        if (reply.status == StoreStatus::Ok) {
            // No value: the item has been deleted, which is relayed like any other change.
            if (!reply.values.empty())
                m_changeSink(m_view.applyItem(reply.values.front()));
            co_return;
        }
        co_await sleepFor(backoff / 2 + randomUpTo(backoff));
    }
}

asio::awaitable<void> PlatformFollower::removeMissingAfterDelay(uint64_t snapshotNumber)
{
    co_await sleepFor(m_options.reregistrationTime);
    // A later snapshot has checked the entries again, and waits again if there was another outage.
    if (snapshotNumber != m_snapshotNumber)
        co_return;
    const auto change = m_view.removeMissingServers();
    if (change.any())
        m_changeSink(change);
}

asio::awaitable<void> PlatformFollower::run()
{
    Millis backoff = initialBackoff;
    bool followedCoordinator = false;
    co_await planFirstRead();
    for (;;) {
        const Millis wait = timeToRead();
        if (wait > Millis(0)) {
            followedCoordinator = m_hasSnapshot;
            co_await m_modeChanged.wait(std::min(wait, m_options.modeCheckInterval));
            continue;
        }
        const std::string_view why = m_hasSnapshot ? "the watch ended" : "start";
        bool ready = false;
        const Millis missed = m_clock.now() - m_changesKnownAt;
        const bool resumes
            = followedCoordinator && !m_needsSnapshot && !outageWasLong() && historyIsCheaperThanRead(missed);
        const size_t maxEntries = m_hasSnapshot || m_needsSnapshot ? SIZE_MAX : m_firstEntries;
        if (resumes)
            ready = co_await readRouterItems();
        else
            ready = co_await readAll(why, m_reader, maxEntries);
        if (!ready) {
            co_await sleepFor(backoff / 2 + randomUpTo(backoff));
            backoff = std::min(maxBackoff, backoff * 2);
            continue;
        }
        followedCoordinator = false;
        backoff = initialBackoff;
        co_await watchLoop(resumes && missed > m_maxShortOutage);
        // A watch that ends immediately must not turn this into a busy loop of reads.
        if (!m_followsCoordinator)
            co_await sleepFor(randomUpTo(2 * initialBackoff));
    }
}

bool PlatformFollower::watchAnsweredWithin(Millis time) const
{
    return !m_followsCoordinator && m_lastWatchAnswer != Instant {} && m_clock.now() - m_lastWatchAnswer <= time;
}

bool PlatformFollower::outageWasLong() const { return m_hadOutage || m_clock.now() - m_lastAnswer > m_maxShortOutage; }

// A host whose coordinator no longer answers resumes watching from the changes that it was sent, and reads only the
// router's own items. Reading the whole store takes more than a second over the slowest links, and all hosts would
// start at the same time. A host that is elected while it awaits a coordinator must act within that second.
asio::awaitable<bool> PlatformFollower::readRouterItems()
{
    const Instant begun = m_clock.now();
    const RangeReply reply = co_await m_store.range(std::string(storePrefix), true, m_options.callTimeout);
    recordRead("the coordinator does not answer", begun, reply, reply.status == StoreStatus::Ok);
    const bool answered = reply.status == StoreStatus::Ok;
    recordAnswer(answered);
    if (answered) {
        m_polled.onRevision(reply.revision);
        m_changeSink(m_view.applyRouterItems(reply));
    }
    co_return answered;
}

asio::awaitable<void> PlatformFollower::watchLoop(bool longHistory)
{
    Millis backoff = initialBackoff;
    Millis wait = m_options.watchDuration;
    while (!m_followsCoordinator) {
        const WatchEnd end = co_await watchOnce(wait);
        if (end == WatchEnd::Stopped) {
            longHistory = false;
            backoff = initialBackoff;
            wait = m_options.watchDuration;
            continue;
        }
        // A lost answer loses no change: the next watch returns the same changes at once. After a longer outage,
        // entries of live servers may have expired; only a snapshot keeps those servers until they register again.
        if (end == WatchEnd::HistoryGone || outageWasLong())
            co_return;
        recordAnswer(false);
        if (longHistory)
            co_return; // it may be too long to arrive within one poll
        wait = m_options.retryWatchDuration;
        backoff = std::min(maxBackoff, backoff * 2);
        co_await sleepFor(randomUpTo(backoff));
    }
}

asio::awaitable<WatchEnd> PlatformFollower::watchOnce(Millis wait)
{
    bool changed = false;
    m_watches.add();
    const Instant begun = m_clock.now();
    m_polled.onPollBegun();
    const WatchEnd end = co_await m_store.watch(std::string(allKeys), m_view.revision() + 1, wait,
        [&](int64_t revision, const std::vector<WatchEvent>& events) {
            changed = !events.empty();
            recordAnswer(true);
            const std::vector<WatchEvent> late = lateEvents(events);
            m_changesKnownAt = begun;
            const int64_t before = m_view.lastChange();
            const int64_t known = m_polled.onPollEnded(newestRevisionOf(events), revision);
            const auto change = m_view.applyEvents(known, late.empty() ? events : late);
            m_view.confirmRules(begun, known);
            m_lastWatchAnswer = m_clock.now();
            m_changeSink(change);
            if (!change.news.empty())
                m_eventSink(before, change.news);
            return false; // one batch per watch, so that the caller checks whether to watch on
        });
    if (changed)
        co_await sleepFor(m_options.batchDelay);
    co_return end;
}

void PlatformFollower::followCoordinator(int64_t coordinatorLastChange, Millis storeSilence, bool asStandby)
{
    m_followsCoordinator = true;
    setWatchesLeader(asStandby);
    recordRelayed(storeSilence, coordinatorLastChange <= m_view.lastChange());
    m_hadOutage = false; // the coordinator relays what came of it
    if (awaitsFirstSnapshot())
        return;
    m_needsSnapshot = m_needsSnapshot && coordinatorLastChange > m_view.lastChange();
    if (coordinatorLastChange > m_view.lastChange() && !std::exchange(m_isCatchingUp, true))
        spawnLoop(m_executor, "catch-up", catchUp(coordinatorLastChange));
}

void PlatformFollower::recordRelayed(Millis storeSilence, bool complete)
{
    const Instant asOf = m_clock.now() - storeSilence;
    m_lastAnswer = std::max(m_lastAnswer, asOf);
    if (complete)
        m_changesKnownAt = std::max(m_changesKnownAt, asOf);
}

void PlatformFollower::setWatchesLeader(bool watches)
{
    if (watches && !m_watchesLeader) {
        m_leaderKnownUpTo = 0;
        m_leaderWatchChanged.notifyAll();
    }
    m_watchesLeader = watches;
}

asio::awaitable<bool> PlatformFollower::readLeader()
{
    const RangeReply reply = co_await m_store.range(leaderKey(), false, m_options.callTimeout);
    if (reply.status != StoreStatus::Ok)
        co_return false;
    m_changeSink(m_view.applyLeader(reply));
    m_leaderKnownUpTo = reply.revision;
    m_leaderPolled.onRevision(reply.revision);
    co_return true;
}

// Each heartbeat of a server ends a watch of all keys, so that with some hundred servers a standby that watched them
// would call the store several times a second, to learn what the coordinator relays anyway.
asio::awaitable<void> PlatformFollower::watchLeader()
{
    Millis backoff = initialBackoff;
    for (;;) {
        if (!m_watchesLeader || !m_followsCoordinator) {
            co_await m_leaderWatchChanged.wait(m_options.modeCheckInterval);
            continue;
        }
        bool answered = m_leaderKnownUpTo > 0;
        if (!answered) {
            answered = co_await readLeader();
        } else {
            m_watches.add();
            m_leaderPolled.onPollBegun();
            const WatchEnd end = co_await m_store.watch(leaderKey(), m_leaderKnownUpTo + 1,
                m_options.leaderWatchDuration, [&](int64_t revision, const std::vector<WatchEvent>& events) {
                    const int64_t known = m_leaderPolled.onPollEnded(newestRevisionOf(events), revision);
                    m_leaderKnownUpTo = std::max(m_leaderKnownUpTo, known);
                    m_changeSink(m_view.applyLeaderEvents(events));
                    return false;
                });
            answered = end == WatchEnd::Stopped;
            if (end == WatchEnd::HistoryGone)
                m_leaderKnownUpTo = 0;
        }
        if (answered)
            recordOtherAnswer();
        backoff = answered ? initialBackoff : std::min(m_options.maxStandbyBackoff, backoff * 2);
        if (!answered)
            co_await sleepFor(backoff / 2 + randomUpTo(backoff));
    }
}

void PlatformFollower::awaitCoordinator()
{
    if (!m_hasSnapshot && !m_needsSnapshot) {
        followStore();
        return;
    }
    m_followsCoordinator = true;
    setWatchesLeader(true);
}

void PlatformFollower::followStore()
{
    m_watchesLeader = false;
    if (!std::exchange(m_followsCoordinator, false))
        return;
    m_lastWatchAnswer = {};
    m_modeChanged.notifyAll();
}

asio::awaitable<void> PlatformFollower::catchUp(int64_t coordinatorLastChange)
{
    co_await sleepFor(m_options.newsTimeout);
    if (coordinatorLastChange > m_view.lastChange()) {
        logChange(LogLevel::Warning, "news-missed",
            { { "lastChange", m_view.lastChange() }, { "coordinators", coordinatorLastChange } });
        if (storeCarriesAllReads(fleetSize())) {
            EntryReader reader(m_store, m_clock);
            co_await readAll("news missed", reader, SIZE_MAX);
        } else {
            awaitSnapshot();
        }
    }
    m_isCatchingUp = false;
}

}
