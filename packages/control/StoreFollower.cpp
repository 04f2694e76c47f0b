#include "control/StoreFollower.h"

#include "base/Log.h"
#include "base/Random.h"
#include "resources/ResourceCodec.h"
#include "web/Signal.h"

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis callTimeout { 3000 }; // long, so that a slow store counts as available
    constexpr Millis minBackoff { 200 };
    constexpr Millis maxBackoff { 2000 };

    Millis jittered(Millis base) { return base / 2 + randomUpTo(base); }

}

StoreFollower::StoreFollower(const Clock& clock, const Settings& settings, Store& store, ClusterView& view,
    RoutingLease& routingLease, Metrics& metrics, FollowerEvents& events)
    : m_clock(clock)
    , m_settings(settings)
    , m_store(store)
    , m_view(view)
    , m_routingLease(routingLease)
    , m_events(events)
    , m_reads(metrics.counter("store_reads"))
    , m_watches(metrics.counter("store_watches"))
    , m_failures(metrics.counter("store_failures"))
{
}

asio::awaitable<bool> StoreFollower::readAll()
{
    const Instant askedAt = m_clock.now();
    const int64_t seen = m_view.revision();
    m_reads.add();
    const RangeReply reply = co_await m_store.range(std::string(storePrefix), true, callTimeout);
    const bool answers = reply.status == StoreStatus::Ok;
    if (answers != m_storeAnswers)
        logChange(answers ? LogLevel::Info : LogLevel::Warning, answers ? "store-answers" : "store-silent");
    m_storeAnswers = answers;
    if (!answers) {
        m_failures.add();
        co_return false;
    }
    // A revision lower than one seen before the request means that the store was restored from an older state, which
    // would undo accepted configuration. Its answers are refused until the revision has caught up and all accepted
    // resources are present again. Otherwise a resource lost in the restore would be taken for one that an operator
    // has deleted.
    const bool wentBack = reply.revision < seen || (m_storeWentBack && !m_view.coveredBy(reply));
    if (wentBack != m_storeWentBack)
        logChange(wentBack ? LogLevel::Error : LogLevel::Info, wentBack ? "store-went-back" : "store-caught-up",
            { { "seen", seen }, { "answered", reply.revision } });
    m_storeWentBack = wentBack;
    if (wentBack)
        co_return false;
    const ViewChange change = m_view.applySnapshot(reply);
    if (change.any())
        m_events.onViewChange(change);
    m_routingLease.recordStoreAnswer(askedAt, versionsIn(reply));
    m_events.onStoreRead();
    co_return true;
}

bool StoreFollower::onEvents(int64_t revision, const std::vector<WatchEvent>& events)
{
    if (revision < m_view.revision() && !events.empty())
        return false; // the store went back to an older revision: end the watch and read everything
    const ViewChange change = m_view.applyEvents(revision, events);
    if (change.any())
        m_events.onViewChange(change);
    return true;
}

asio::awaitable<void> StoreFollower::run()
{
    Millis backoff = minBackoff;
    for (;;) {
        if (!co_await readAll()) {
            co_await sleepFor(jittered(backoff));
            backoff = std::min(maxBackoff, backoff * 2);
            continue;
        }
        backoff = minBackoff;
        m_watches.add();
        const Instant startedAt = m_clock.now();
        co_await m_store.watch(std::string(storePrefix), m_view.revision() + 1, m_settings.timing.rereadInterval,
            [this](int64_t revision, const std::vector<WatchEvent>& events) { return onEvents(revision, events); });
        // Keeps a watch that ends at once from causing a busy loop of reads.
        if (m_clock.now() - startedAt < minBackoff)
            co_await sleepFor(jittered(backoff));
    }
}

}
