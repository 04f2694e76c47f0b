// Runs the assigner while this host is the leader: gathers the input of its decisions and commits their output to the
// store.
#pragma once

#include "control/ClusterView.h"
#include "control/Election.h"
#include "control/LoadAggregator.h"
#include "control/PeerMesh.h"
#include "decisions/Assigner.h"
#include "store/HostList.h"
#include "store/Store.h"

#include <functional>
#include <map>
#include <memory>

namespace cumindale {

class AssignerDriver {
public:
    using ViewSink = std::function<void(const ViewChange&)>;

    AssignerDriver(const Clock&, const Settings&, Store&, HostList&, ClusterView&, Election&, PeerMesh&,
        LoadAggregator&, Metrics&, ViewSink);
    boost::asio::awaitable<void> run(); // forever
    boost::asio::awaitable<void> pollHostList(); // forever; reads the list only while this host is the leader
    // Hosts on the platform's list that aren't leaving. They get heartbeats too.
    const std::map<std::string, Member>& liveHosts() const { return m_liveHosts; }

private:
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> stepRoster(Instant now, const HostReports&);
    boost::asio::awaitable<void> stepService(const ServiceResource&, Instant now, const HostReports&);
    boost::asio::awaitable<bool> commit(
        std::string key, std::string value, ViewChange& change, std::function<ViewChange(int64_t modRevision)> apply);
    ServiceView serviceView(const ServiceResource&, const SliceTable&, Instant now, const HostReports&);
    bool isLost(const std::string& server, const HostReports&, Instant now) const;
    double warmupFraction(const ServerResource&, bool usable, Instant now);
    Millis longestWork() const;

    const Clock& m_clock;
    const Settings& m_settings;
    Store& m_store;
    HostList& m_hostList;
    ClusterView& m_view;
    Election& m_election;
    PeerMesh& m_mesh;
    LoadAggregator& m_loadAggregator;
    ViewSink m_sink;
    Counter& m_writes;
    Counter& m_reads;
    Counter& m_slicesReassigned;
    int64_t m_term = 0; // the leadership term that m_services and m_roster belong to; 0: none
    std::map<std::string, std::unique_ptr<ServiceAssigner>> m_services;
    std::unique_ptr<RosterAssigner> m_roster;
    std::map<std::string, Member> m_liveHosts; // on the platform's list and not leaving
    std::map<std::string, Instant> m_lastListedAt; // when the list last showed the host and it wasn't leaving
    std::map<std::string, Instant> m_usableSince; // when each server was last unusable; its cold start counts from then
    bool m_hostListRead = false;
};

}
