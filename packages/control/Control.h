// The control thread of a host: follows the store, exchanges heartbeats with peers, takes part in leader election, runs
// the assigner, and sends the routing thread its configuration and lease. All functions run as coroutines on this one
// thread.
#pragma once

#include "control/AssignerDriver.h"
#include "control/PeerMesh.h"
#include "control/StatusBoard.h"
#include "control/StoreFollower.h"
#include "routing/Messages.h"

#include <functional>

namespace cumindale {

class Control final : public MeshEvents, public FollowerEvents {
public:
    using UpdateSink = std::function<bool(RoutingUpdate)>; // false: the queue to the routing thread is full

    Control(boost::asio::any_io_executor, const Clock&, const Settings&, Store&, HostList&, Metrics&, StatusBoard&,
        UpdateSink);

    void start();
    void onRoutingReport(RoutingReport);
    boost::asio::awaitable<void> leave(); // gives up the leadership if this host is the leader

private:
    void onViewChange(const ViewChange&) override;
    void onLeaseChange() override;
    void onStoreRead() override;
    void onPeerLoad(const wire::LoadReport&) override;

    void publishLeases();
    void publishRelays();
    void publishEverything();
    void sendUpdate(RoutingUpdate);
    void choosePeers();
    void publishStatus();
    boost::asio::awaitable<void> housekeeping();
    boost::asio::awaitable<void> readStoreWhileStale();
    boost::asio::awaitable<void> sendLoads(std::map<std::string, ServiceLoad>);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const Settings& m_settings;
    Metrics& m_metrics;
    StatusBoard& m_statusBoard;
    UpdateSink m_sink;
    ClusterView m_view;
    RoutingLease m_routingLease;
    PeerMesh m_mesh;
    PeerServer m_peerServer;
    StoreFollower m_follower;
    Election m_election;
    LoadAggregator m_loadAggregator;
    AssignerDriver m_assigner;
    bool m_configurationSent = false; // whether the routing thread has been sent the whole view
    std::map<std::string, LeaseValidity> m_sentLeases; // last value sent to the routing thread, by service
    std::map<std::string, std::vector<Member>> m_sentRelays; // last value sent to the routing thread, by server
    bool m_updateLost = false; // the queue was full; housekeeping() sends everything again
};

}
