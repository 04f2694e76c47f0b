// Heartbeats between the entry hosts: sends them to peers, answers those of peers, and renews the routing lease with
// the answers.
//
// A heartbeat contains the sender's state only if the receiver doesn't have its newest version; otherwise it is a few
// bytes long.
#pragma once

#include "base/Metrics.h"
#include "control/ClusterView.h"
#include "decisions/RoutingLease.h"
#include "peers/PeerLink.h"
#include "peers/PeerServer.h"
#include "peers/Wire.h"
#include "resources/Settings.h"
#include "web/Signal.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cumindale {

// Notifications from PeerMesh, called on the control thread.
class MeshEvents {
public:
    virtual ~MeshEvents() = default;
    virtual void onViewChange(const ViewChange&) = 0; // newer data arrived from a peer
    virtual void onLeaseChange() = 0; // the routing lease may have been extended
    virtual void onPeerLoad(const wire::LoadReport&) = 0;
};

class PeerMesh final : public PeerHandler {
public:
    PeerMesh(boost::asio::any_io_executor, const Clock&, const Settings&, ClusterView&, RoutingLease&, Metrics&,
        MeshEvents&);

    void setOwnReport(HostReport); // snapshot of this host's dispatching thread
    void setPeers(const std::map<std::string, Member>&); // peers to send heartbeats to; must not contain this host
    void refreshOwnState(); // to be called after the view or the routing lease changed
    boost::asio::awaitable<bool> sendLoad(std::string peer, wire::LoadReport);

    // --- For the assigner
    HostReports reports(Instant now) const; // of this host and all hosts ever heard from; ages as of `now`
    bool heardSince(std::string_view peer, Instant) const; // a heartbeat or an answer has arrived from the peer since
    bool answeredSince(std::string_view peer, Instant) const; // the peer has answered a heartbeat of this host since

    // --- From peers
    wire::Beat onBeat(const wire::Beat&) override;
    void onLoad(const wire::LoadReport&) override;
    std::string onTable(const std::string& service) override;
    std::string onRoster() override;
    std::string onResources() override;

private:
    struct Peer {
        Member member;
        std::shared_ptr<PeerLink> link; // null: this host doesn't send heartbeats to the peer
        int64_t sequence = 0; // of `state`
        int64_t ackedSequence = 0; // of the newest state of this host that the peer has; 0: none
        PeerState state;
        Instant stateAt {};
        Instant heardAt {};
        Instant answeredAt {}; // last answer to a heartbeat of this host
        bool heard = false;
    };

    boost::asio::awaitable<void> beatLoop(std::string name, std::shared_ptr<PeerLink>);
    boost::asio::awaitable<void> fetchNewerVersions(std::string name, std::shared_ptr<PeerLink>);
    void recordBeat(Peer&, const wire::Beat&);
    wire::Beat makeBeat(int64_t ackedSequence, int64_t sequence) const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const Settings& m_settings;
    ClusterView& m_view;
    RoutingLease& m_routingLease;
    Counter& m_bytesSent;
    Counter& m_beats;
    Counter& m_beatsMissed;
    MeshEvents& m_events;
    std::map<std::string, Peer, std::less<>> m_peers;
    PeerState m_own;
    int64_t m_sequence;
    Instant m_startedAt;
    Signal m_stateChanged; // this host's state changed: send heartbeats at once
};

}
