// Keeps a PlatformView up to date: reads the whole store once, then watches all keys with one long poll, or relies on
// the changes that the coordinator relays. A poll without an answer is abandoned shortly after its duration, since a
// connection can stop delivering without being closed.
#pragma once

#include "base/Metrics.h"
#include "decisions/EntryReads.h"
#include "decisions/FleetTiming.h"
#include "decisions/PolledChanges.h"
#include "gateway/EntryReader.h"
#include "gateway/PlatformView.h"
#include "store/Store.h"
#include "web/Signal.h"

#include <functional>
#include <vector>

namespace cumindale {

struct FollowerOptions {
    Millis callTimeout { 1'500 }; // long enough for a slow store
    Millis watchDuration = maxWatchDuration; // length of one long poll
    // Length of the poll after a lost answer: it soon returns the lost changes, and shows that the store answers.
    Millis retryWatchDuration { 50 };
    // A change that the coordinator knows of and that hasn't arrived after this time counts as lost, and the store is
    // read. Reports are up to 2 s apart, and a change must be in force within 2 to 2.5 s.
    Millis newsTimeout { 300 };
    // Length of a standby's watch of the leader's key, which changes only when the coordinator does.
    Millis leaderWatchDuration { 5'000 };
    // Between a standby's attempts to watch while the store refuses them: the coordinator still answers, and each
    // refused call counts against the rate that all hosts share.
    Millis maxStandbyBackoff { 3'000 };
    Millis modeCheckInterval { 1'000 }; // between checks whether the coordinator still relays changes
    // Pause after a batch of changes, so that the next answer holds several further changes instead of one each.
    Millis batchDelay { 120 };
    // Servers whose entries expired during an outage register again within about two seconds of its end.
    Millis reregistrationTime { 2'100 };
};

class PlatformFollower {
public:
    // Also called if nothing but the time has changed for which the rules are confirmed.
    using ChangeSink = std::function<void(const PlatformView::Change&)>;
    // External writes that say something new, in the order received.
    using EventSink = std::function<void(int64_t afterChange, const std::vector<WatchEvent>&)>;

    PlatformFollower(boost::asio::any_io_executor, const Clock&, FollowerOptions, Store&, PlatformView&, Metrics&,
        ChangeSink, EventSink);
    boost::asio::awaitable<void> run(); // never returns
    // Watches the leader's key alone, while this host is a standby or awaits a coordinator; never returns.
    boost::asio::awaitable<void> watchLeader();
    // The coordinator relays every change, so this host stops watching the store. If the coordinator knows of a change
    // that doesn't arrive here, the store is read. `storeSilence`: time since the store last answered the coordinator.
    // It counts as this host's own last contact: if the time without requests counted as a store outage, servers whose
    // entries are gone would be kept as after an outage, and get requests for seconds after their removal.
    // A standby also watches the leader's key, so that it can take over at once.
    void followCoordinator(int64_t coordinatorLastChange, Millis storeSilence, bool asStandby);
    // The coordinator has announced an item that is too large to be repeated in an answer. If the item hasn't arrived
    // after `timeout`, its message counts as lost, and the item alone is read from the store.
    void readItemIfMissed(std::string key, int64_t revision, Millis timeout);
    // No coordinator relays changes, and the store doesn't carry the watches of all hosts: this host waits for the next
    // coordinator, which has recorded the changes, and the standbys tell it of them meanwhile.
    void awaitCoordinator();

    // --- Snapshots from the coordinator, if the store doesn't carry the reads of all hosts; PlatformFollowerStart.cpp

    // This host awaits the coordinator's snapshot, since it has none of its own or is too far behind.
    bool needsSnapshot() const { return m_needsSnapshot; }
    bool awaitsFirstSnapshot() const { return m_needsSnapshot && !m_hasSnapshot; }
    // `items`: as for PlatformView::applyRelayedSnapshot(). `age`: since the coordinator knew of no later change.
    void takeSnapshot(int64_t revision, const std::vector<KeyValue>& items, Millis age);
    void readWithoutSnapshot(); // the coordinator is of a version that sends none
    void setHosts(size_t hosts) { m_hosts = hosts; } // that share the store
    FleetSize fleetSize() const; // as far as this host knows; 0 where it doesn't

    // --- While no coordinator answers

    // Another host has told this one what it has missed. `storeSilence`: as for followCoordinator(). `complete`: this
    // host has all that the other one knows.
    void recordRelayed(Millis storeSilence, bool complete);
    // The store has answered a call that doesn't go through this object. Answers during a wait for a coordinator show
    // that the store had no outage, in which entries may have expired.
    void recordOtherAnswer();
    void followStore(); // no coordinator relays changes, or this host is the coordinator
    // Servers' entries expire after a few missed heartbeats; none can have expired in an outage shorter than this.
    void setMaxShortOutage(Millis duration) { m_maxShortOutage = duration; }
    // Length of one long poll; a host without a coordinator, and the coordinator, know by it that nothing has changed.
    void setWatchDuration(Millis duration) { m_options.watchDuration = duration; }
    bool hasSnapshot() const { return m_hasSnapshot; } // the whole store has been read once
    Instant lastAnswer() const { return m_lastAnswer; }
    bool watchAnsweredWithin(Millis) const; // this host watches the store, not only the leader's key

private:
    static constexpr Millis initialBackoff { 50 }; // after a failed read; most failures are a single lost connection
    static constexpr Millis maxBackoff { 400 }; // recovery within half a second of the store's return

    boost::asio::awaitable<void> planFirstRead();
    // How long this host leaves the reading of all entries to others; Millis::max(): it needs none.
    Millis timeToRead() const;
    void awaitSnapshot();
    // `maxEntries`: with more, this host awaits the coordinator's snapshot.
    boost::asio::awaitable<bool> readAll(std::string_view why, EntryReader&, size_t maxEntries);
    boost::asio::awaitable<bool> readRouterItems();
    boost::asio::awaitable<bool> readLeader();
    // Until the coordinator relays changes, or the store must be read again. `longHistory`: the first answer has the
    // changes of a wait for a coordinator.
    boost::asio::awaitable<void> watchLoop(bool longHistory);
    boost::asio::awaitable<WatchEnd> watchOnce(Millis wait);
    bool outageWasLong() const;
    void setWatchesLeader(bool);
    // Reads the store unless the missing changes arrive within newsTimeout.
    boost::asio::awaitable<void> catchUp(int64_t coordinatorLastChange);
    boost::asio::awaitable<void> readItem(std::string key, int64_t revision, Millis timeout);
    boost::asio::awaitable<void> removeMissingAfterDelay(uint64_t snapshotNumber);
    void recordAnswer(bool answers);
    void recordRead(std::string_view why, Instant begun, const RangeReply&, bool complete);
    Millis oldestChangeAge() const;
    std::vector<WatchEvent> lateEvents(const std::vector<WatchEvent>&) const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    FollowerOptions m_options;
    Store& m_store;
    PlatformView& m_view;
    ChangeSink m_changeSink;
    EventSink m_eventSink;
    Counter& m_reads;
    Counter& m_bytesRead;
    Counter& m_watches;
    Counter& m_failures;
    Instant m_lastAnswer {};
    Instant m_lastWatchAnswer {}; // since followStore() began the present watch; default: none
    bool m_hadOutage = false; // a long one, while other calls than watches of all keys were answered
    Instant m_changesKnownAt {}; // all changes of the store until then are known, or have been relayed
    Millis m_maxShortOutage = FleetTiming().maxShortOutage;
    uint64_t m_snapshotNumber = 0;
    bool m_storeAnswers = true;
    bool m_hasSnapshot = false;
    bool m_followsCoordinator = false;
    bool m_watchesLeader = false; // watchLeader() is at work
    PolledChanges m_polled; // by watches of all keys
    PolledChanges m_leaderPolled; // by watches of the leader's key
    int64_t m_leaderKnownUpTo = 0; // all changes of the leader's key up to this revision are known; 0: none
    Signal m_leaderWatchChanged; // m_watchesLeader was set
    EntryReader m_reader; // of run()
    size_t m_hosts = 0; // that share the store; 0: unknown
    std::optional<FleetSize> m_fleetSize; // as the last coordinator had left it when this host started
    size_t m_firstEntries = 0; // as entriesReadAtStart()
    double m_readPhase; // the place of this host among the turns of all
    bool m_needsSnapshot = false;
    Instant m_turnAt {}; // while m_needsSnapshot: when this host reads all entries itself
    bool m_isCatchingUp = false; // catchUp() is running: the coordinator knows of changes that may still arrive
    Signal m_modeChanged; // m_followsCoordinator was cleared
};

}
