// Election of the one assigner: a key in the store under a lease.
//
// Each write of the assigner compares this key's revision, so that the late write of a former assigner, paused
// past its lease, fails in the store itself. mayAct() is only a courtesy that saves such writes.
#pragma once

#include "base/Metrics.h"
#include "control/ClusterView.h"
#include "platform/Store.h"
#include "resources/Settings.h"
#include "web/Signal.h"

#include <string>

namespace cumindale {

class Election {
public:
    Election(boost::asio::any_io_executor, const Clock&, const Settings&, Store&, ClusterView&, Metrics&);
    boost::asio::awaitable<void> run(); // forever
    void onLeaderChange() { m_changed.notifyAll(); }
    void stopStanding() { m_standing = false; } // this host is leaving
    boost::asio::awaitable<void> resign();

    bool mayAct() const;
    Compare fence() const; // condition for every write of the assigner
    int64_t term() const { return m_modRevision; } // changes with each election won

private:
    boost::asio::awaitable<bool> stand();
    boost::asio::awaitable<void> hold();

    const Clock& m_clock;
    const Settings& m_settings;
    Store& m_store;
    ClusterView& m_view;
    Counter& m_writes;
    Counter& m_won;
    Signal m_changed;
    std::string m_nonce;
    int64_t m_lease = 0;
    int64_t m_modRevision = 0; // of the leader key, as this host wrote it; 0: not leader
    Instant m_validUntil {};
    bool m_standing = true;
};

}
