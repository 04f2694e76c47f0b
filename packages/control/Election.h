// Election of the one assigner: a key in the store under a lease.
//
// Each write of the assigner compares this key's revision, so that the late write of a former assigner, paused
// past its lease, fails in the store itself. mayAct() is only a courtesy that saves such writes.
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
    std::string address; // "IP:port" under which the others find the leader; may be empty
    Millis lease { 2'000 };
    Millis callTimeout { 1'500 }; // of one call to the store
    std::function<void()> onLeadershipChange; // the office was won or lost
    std::function<Millis()> campaignDelay; // before this host stands for a vacant office; none: a few ms at random
};

class Election {
public:
    Election(boost::asio::any_io_executor, const Clock&, ElectionOptions, Store&, const LeaderSource&, Metrics&);
    boost::asio::awaitable<void> run(); // forever
    void onLeaderChange() { m_changed.notifyAll(); }
    void stopCampaigning() { m_mayCampaign = false; } // this host is leaving
    // Gives the office up. False: the store is away. Nobody else can be elected then, and this host is still in office.
    boost::asio::awaitable<bool> resign();

    bool isLeader() const { return m_modRevision; } // as far as this host knows; the store may say otherwise
    bool mayAct() const;
    Instant lastConfirmed() const { return m_confirmedAt; } // the store said so to a question asked then
    void stepDown(); // gives the office back: another is at work, or this host can't do it
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
    int64_t m_modRevision = 0; // of the leader key, as this host wrote it; 0: not leader
    Instant m_validUntil {};
    Instant m_confirmedAt {};
    Instant m_campaignNotBefore {}; // after the office was given back the others go first
    bool m_mayCampaign = true;
    bool m_steppedDown = false;
};

}
