// Leader election through a key in the store that is attached to a lease. The leader is the assigner or the
// coordinator.
//
// Each write of the leader compares the revision of this key (a fencing token), so a late write of a previous leader
// that was paused past its lease fails in the store. mayAct() isn't needed for this; it only avoids writes that would
// fail.
#pragma once

#include "base/Metrics.h"
#include "control/LeaderSource.h"
#include "store/Store.h"
#include "web/Signal.h"

#include <functional>
#include <string>

namespace cumindale {

struct ElectionOptions {
    std::string host; // this host's name
    std::string address; // "IP:port" at which other hosts reach the leader; may be empty
    Millis lease { 2'000 };
    Millis callTimeout { 1'500 }; // for one call to the store
    std::function<void()> onLeadershipChange; // leadership won or lost; not called after stepDown() or resign()
    // Whether another host, if there is one, should be elected rather than this one. Asked after the delay; may be
    // empty.
    std::function<bool()> defersToOthers;
    std::function<Millis()> campaignDelay; // wait before campaigning; if empty, up to 50 ms at random
};

class Election {
public:
    Election(boost::asio::any_io_executor, const Clock&, ElectionOptions, Store&, const LeaderSource&, Metrics&);
    boost::asio::awaitable<void> run(); // forever
    void onLeaderChange() { m_changed.notifyAll(); }
    void stopCampaigning() { m_mayCampaign = false; } // for a host that is leaving
    // Gives up the leadership for good. Returns false if the store is unavailable; then no other host can be elected,
    // and this host is still the leader.
    boost::asio::awaitable<bool> resign();

    bool isLeader() const { return m_modRevision; } // as far as this host knows; the store may have another leader
    bool mayAct() const;
    Instant lastConfirmed() const { return m_confirmedAt; } // send time of the request last confirmed by the store
    void stepDown(); // gives up the leadership for now: another leader is active, or this host can't act as one
    Compare fence() const; // condition for every write of the assigner
    int64_t term() const { return m_modRevision; } // changes with each election won

private:
    boost::asio::awaitable<bool> campaign();
    boost::asio::awaitable<void> keepLeadership();
    void notifyChange();

    const Clock& m_clock;
    ElectionOptions m_options;
    Store& m_store;
    const LeaderSource& m_view;
    Counter& m_writes;
    Counter& m_won;
    Signal m_changed;
    std::string m_nonce;
    int64_t m_leaseId = 0;
    int64_t m_modRevision = 0; // of the leader key as written by this host; 0: not the leader
    Instant m_validUntil {};
    Instant m_confirmedAt {};
    Instant m_campaignNotBefore {}; // after stepDown(), so that other hosts can be elected first
    bool m_mayCampaign = true;
    bool m_steppedDown = false;
};

}
