// Runs the grant plans of all keyed services while this host is the leader: writes the grant tables to the store, sends
// orders to the servers, and answers the hosts' reports with advice.
//
// The decisions are in decisions/GrantPlan.h, KeyBalance.h and SlotShares.h. This class does their I/O.
#pragma once

#include "control/Election.h"
#include "decisions/CrashEvidence.h"
#include "decisions/GrantPlan.h"
#include "decisions/KeyBalance.h"
#include "decisions/LeadershipRules.h"
#include "decisions/ServerReach.h"
#include "gateway/Announcer.h"
#include "gateway/BrokerAnnouncer.h"
#include "gateway/CoordinatorWrites.h"
#include "gateway/ForwardAnnouncer.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/PlatformView.h"
#include "gateway/ReportingHosts.h"
#include "gateway/ServerShares.h"
#include "gateway/SnapshotAnnouncer.h"
#include "gateway/StandbyAnnouncer.h"
#include "peers/Coordination.h"
#include "web/HttpClient.h"
#include "web/Signal.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace cumindale {

struct CoordinatorOptions {
    std::string host;
    GrantTiming grants;
    LeadershipTiming leadership;
    BalanceOptions balance;
    ShareOptions shares;
    Millis registrationQuietPeriod { 700 }; // without a new server, before a new service's keys are assigned
    Millis stepInterval { 30 }; // longest time between two calls of step() while this host is the leader
    // Plans look at each range of keys and its server, so they do it only when something has changed or time may have
    // changed something, such as the end of a warm-up.
    Millis maintenanceInterval { 120 };
    Millis releaseTimeout { 3'000 }; // a server answers a release only after its requests in progress have ended
    Millis balanceInterval { 400 }; // at most one write per round; each write wakes the watches of all hosts
    Millis loadHalfLife { 2'000 }; // of the measured load of keys: hot keys change within seconds
    size_t standbys = 2; // number of hosts that watch the leader's key, so that they can take over at once
    size_t serversPerConcurrentMove = 6; // one concurrent move is allowed for this many servers
    Millis hostListWriteInterval { 2'000 }; // of the list of reporting hosts, if no table is written
    Millis storeTimeout { 1'000 };
    // When the store has not answered for this long, reports of leaving servers are ignored: no move could be announced
    // in the store, so keys stay at their servers.
    Millis storeUnavailableAfter { 1'500 };
};

class Coordinator {
public:
    using TableSink = std::function<void(GrantTable)>; // receives tables that are newer than those in the store

    Coordinator(boost::asio::any_io_executor, const Clock&, const PlatformAdapter&, CoordinatorOptions, Store&,
        PlatformView&, Election&, Metrics&, TableSink);
    boost::asio::awaitable<void> run(); // doesn't return
    void wake(); // the leadership or the platform view has changed
    void setTimeSinceStoreAnswer(Millis duration) { m_timeSinceStoreAnswer = duration; }
    void setCutOff(bool); // this host reaches no server
    bool hasSteppedDownRecently() const; // since it reached too few servers, while other hosts do
    wire::HostAdvice onReport(const wire::HostReport&, bool mayBeLarge); // `mayBeLarge`: as for the Announcer
    // What a host that awaits a coordinator has missed, as far as this host knows, whether it is the leader or not.
    wire::HostAdvice missedChanges(const wire::HostReport&, bool mayBeLarge);
    void onEvents(int64_t afterChange, const std::vector<WatchEvent>&); // forwards changes in the store to all hosts
    // Records changes that the present coordinator relays, for the case that this host succeeds it. `complete`: none of
    // the changes after `afterChange` up to `lastChange` is left out.
    void onNews(int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>&, bool complete);

private:
    struct ServerState {
        std::string address; // kept after the server's registration has ended, to send it releases
        uint16_t port = 0;
        std::shared_ptr<HttpClient> client;
        std::list<std::pair<GrantOrder, std::string>> grants; // to be sent in this order, each with its service
        // Number of sendGrants() coroutines, each with one connection; more than one while answers are missing.
        unsigned senders = 0;
        Instant lastSentAt {}; // when the last grant was sent
    };

    struct Registrations {
        size_t count = 0;
        Instant since {}; // when `count` last changed
    };

    bool isLeader() const;
    GrantTable tableOf(const GrantPlan&) const; // with this host as its coordinator
    bool readyForTerm() const; // the view includes all writes from before this host's election
    void beginTerm();
    void endTerm();
    void step();
    bool mayAct(Instant now); // and logs changes of what allows it
    bool mustStepDown(bool isolated, Instant now);
    void createMissingPlans();
    bool registrationsSettled(const std::string& service);
    void publish(GrantPlan&);
    void checkPreviousCoordinators(std::string_view reporter);
    void onPreviousStopped(const std::string& service, Instant at, std::string_view why);
    FleetTiming timing() const { return fleetTiming(m_hosts.size()); }
    void balance();
    double loadLifetimeSeconds() const; // mean lifetime of a load sample under the exponential decay
    double meanWorkMillis(const GrantPlan&) const; // of one request, averaged over the servers of this service
    std::vector<ServerCapacity> capacities(const GrantPlan&);
    void send(GrantOrder, const std::string& service);
    void startSender(const std::string& server, ServerState&);
    boost::asio::awaitable<void> startSenders();
    void addSendersToStalledServers();
    boost::asio::awaitable<void> sendGrants(std::string server, int64_t term);
    bool maySend(int64_t term); // an order of this term, at this moment
    std::optional<uint64_t> fenceToSend(const GrantOrder&, const std::string& service, bool newConnection);
    void recordReach(const std::string& server, const OrderAnswer&);
    boost::asio::awaitable<void> executeOrder(GrantOrder, int64_t term, std::string service);
    // The registered servers. Those that have announced in responses to hosts that they are leaving are marked as
    // leaving.
    std::shared_ptr<const GrantPlan::Servers> servers();
    void applyReportedLeaving(const wire::HostReport&);
    void applyRateLimits(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void applyCrashReports(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void publishCrashes(Instant now, std::string_view reporter); // sends the lists to all hosts if they have changed
    void applyServerUse(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void addSparePermits(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void publishCrowded(std::span<const std::string>);
    void publishExpectedCrowding(std::span<const BalanceMove>, const KeyLoad&);
    boost::asio::awaitable<void> write(PendingWrite, int64_t term);
    boost::asio::awaitable<int64_t> readBack(std::vector<WriteOperation>);
    void writeChanges();
    std::set<std::string, std::less<>> changedHostList() const; // empty: the list in the store is up to date
    void logEvents(GrantPlan&);
    void updateServerAddresses();
    void useAddressOfLaterIncarnation(const std::string& server); // if one is registered
    std::shared_ptr<HttpClient> clientFor(const std::string& server); // null: no address is known in this term

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const PlatformAdapter& m_adapter;
    CoordinatorOptions m_options;
    Store& m_store;
    PlatformView& m_view;
    Election& m_election;
    TableSink m_tableSink;
    Counter& m_peerBytes;
    Counter& m_orders;
    Counter& m_ordersFailed;
    Counter& m_writes;
    Counter& m_moves;
    Counter& m_crowdedServersPublished;
    Signal m_wakeUp;
    int64_t m_term = 0; // 0: not the leader
    std::map<std::string, std::unique_ptr<GrantPlan>> m_plans; // by service
    std::map<std::string, Registrations> m_registrations; // by service, of services without a plan
    std::map<std::string, KeyLoad> m_loads; // by service
    std::map<std::string, ServerState, std::less<>> m_servers;
    std::deque<std::string> m_sendersToStart; // servers, one entry for each sendGrants()
    bool m_isStartingSenders = false; // startSenders() is running
    std::set<std::string, std::less<>>
        m_reportedLeaving; // servers that hosts report as leaving but that are not registered as leaving
    ServerShares m_shares;
    CrashAggregator m_crashes;
    uint64_t m_writtenQuarantineEdition = 0; // edition of m_crashes that is in the store
    uint64_t m_publishedCrashesEdition = 0; // of the two lists below; 0: none published in this term
    std::vector<int64_t> m_publishedSuspects;
    std::vector<int64_t> m_publishedQuarantined;
    Instant m_crashesPublishedAt {};
    ReportingHosts m_hosts;
    BrokerAnnouncer m_brokers;
    ForwardAnnouncer m_forwardTargets;
    StandbyAnnouncer m_standbys;
    bool m_cutOff = false;
    Instant m_cutOffSince {};
    ServerReach m_orderReach; // from orders in this term
    Instant m_steppedDownAt {};
    Announcer m_announcer;
    SnapshotAnnouncer m_snapshots;
    bool m_writing = false;
    LeadershipRules m_leadership;
    ActingBasis m_actingBasis = ActingBasis::Store; // by the last check
    Instant m_basisCheckedAt {};
    std::map<std::string, std::string>
        m_previousCoordinators; // by service: the host whose orders may still arrive at servers
    Instant m_termBegan {};
    Instant m_hostListCheckedAt {};
    Instant m_lastBalance {};
    bool m_needsMaintenance = true; // something that the plans go by has changed
    Instant m_lastMaintenance {};
    uint64_t m_knownServersEdition = 0; // of the servers whose addresses are in m_servers; 0: none in this term
    Instant m_mostServersAnsweredAt {}; // the last step in which most servers were responsive
    Millis m_timeSinceStoreAnswer { 0 };
};

}
