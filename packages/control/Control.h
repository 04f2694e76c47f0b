// The control duty: follows the store, beats with peers, stands for election, runs the assigner, and tells the
// routing duty what it may do. One thread; everything here is a coroutine on it.
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
    using UpdateSink = std::function<bool(RoutingUpdate)>; // false: the ring is full

    Control(boost::asio::any_io_executor, const Clock&, const Settings&, Store&, HostList&, Metrics&, StatusBoard&,
        UpdateSink);

    void start();
    void onRoutingReport(RoutingReport);
    boost::asio::awaitable<void> leave(); // gives up the office, if it holds it

private:
    void onViewChange(const ViewChange&) override;
    void onFreshness() override;
    void onStoreRead() override;
    void onPeerLoad(const wire::LoadReport&) override;

    void publishFreshness();
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
    RoutingLease m_freshness;
    PeerMesh m_mesh;
    PeerServer m_peerServer;
    StoreFollower m_follower;
    Election m_election;
    LoadAggregator m_loadAggregator;
    AssignerDriver m_assigner;
    bool m_configurationSent = false; // the routing duty was told the whole view once
    std::map<std::string, FreshUntil> m_sentFreshness; // newest that the routing duty was told, by service
    std::map<std::string, std::vector<Member>> m_sentRelays;
    bool m_updateLost = false; // the ring was full: everything is sent again
};

}
