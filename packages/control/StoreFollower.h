// Keeps the view up to date with the store: reads everything, then watches for changes. A watch without any message for
// the re-read interval is closed and everything is read again, because a watch can stop delivering without an error.
#pragma once

#include "base/Metrics.h"
#include "control/ClusterView.h"
#include "decisions/RoutingLease.h"
#include "resources/Settings.h"
#include "store/Store.h"

namespace cumindale {

class FollowerEvents {
public:
    virtual ~FollowerEvents() = default;
    virtual void onViewChange(const ViewChange&) = 0;
    virtual void onStoreRead() = 0; // a read succeeded; it may have renewed the routing lease
};

class StoreFollower {
public:
    StoreFollower(const Clock&, const Settings&, Store&, ClusterView&, RoutingLease&, Metrics&, FollowerEvents&);
    boost::asio::awaitable<void> run(); // forever
    boost::asio::awaitable<bool> readAll(); // false: no answer, or the store went back to an older state
    bool storeAnswers() const { return m_storeAnswers; }
    bool storeWentBack() const { return m_storeWentBack; }

private:
    bool onEvents(int64_t revision, const std::vector<WatchEvent>&);

    const Clock& m_clock;
    const Settings& m_settings;
    Store& m_store;
    ClusterView& m_view;
    RoutingLease& m_routingLease;
    FollowerEvents& m_events;
    Counter& m_reads;
    Counter& m_watches;
    Counter& m_failures;
    bool m_storeAnswers = false;
    bool m_storeWentBack = false;
};

}
