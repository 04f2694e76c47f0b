// Beats between the entry hosts: asks each peer, answers them, and keeps the routing lease from the answers.
//
// A state travels only when it changed since the other side last got it; otherwise a beat is a few bytes.
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

// What the mesh tells its owner. Called on the control thread.
class MeshEvents {
public:
    virtual ~MeshEvents() = default;
    virtual void onViewChange(const ViewChange&) = 0; // a peer had something newer
    virtual void onFreshness() = 0; // the routing lease may have moved
    virtual void onPeerLoad(const wire::LoadReport&) = 0;
};

class PeerMesh final : public PeerHandler {
public:
    PeerMesh(boost::asio::any_io_executor, const Clock&, const Settings&, ClusterView&, RoutingLease&, Metrics&,
        MeshEvents&);

    void setOwnReport(HostReport); // its dispatching thread's snapshot
    void setPeers(const std::map<std::string, Member>&); // whom to ask, without this host
    void refreshOwnState(); // after the view or freshness changed
    boost::asio::awaitable<bool> sendLoad(std::string peer, wire::LoadReport);

    // --- For the assigner
    HostReports reports(Instant now) const; // all hosts ever heard, this one included; ages brought up to now
    bool heardSince(std::string_view peer, Instant) const; // answered or asked since
    bool answeredSince(std::string_view peer, Instant) const; // answered this host since

    // --- From peers
    wire::Beat onBeat(const wire::Beat&) override;
    void onLoad(const wire::LoadReport&) override;
    std::string onTable(const std::string& service) override;
    std::string onRoster() override;
    std::string onResources() override;

private:
    struct Peer {
        Member member;
        std::shared_ptr<PeerLink> link; // null: not asked by this host
        int64_t sequence = 0; // of the state held
        int64_t ackedSequence = 0; // sequence of this host's state that the peer holds
        PeerState state;
        Instant stateAt {};
        Instant heardAt {};
        Instant answeredAt {}; // a question of this host
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
    RoutingLease& m_freshness;
    Counter& m_bytesSent;
    Counter& m_beats;
    Counter& m_beatsMissed;
    MeshEvents& m_events;
    std::map<std::string, Peer, std::less<>> m_peers;
    PeerState m_own;
    int64_t m_sequence;
    Instant m_startedAt;
    Signal m_stateChanged; // own state changed: beat now
};

}
