// Drives the grant plans of all keyed services while this host holds the office: writes their tables, calls the
// servers, takes the hosts' reports in and advises them.
//
// The decisions are in decisions/GrantPlan.h, KeyBalance.h and SlotShares.h; here is what they need of the world.
#pragma once

#include "control/Election.h"
#include "decisions/CrashEvidence.h"
#include "decisions/GrantPlan.h"
#include "decisions/KeyBalance.h"
#include "decisions/LeadershipRules.h"
#include "gateway/Announcer.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/PlatformView.h"
#include "gateway/ServerShares.h"
#include "peers/Coordination.h"
#include "web/HttpClient.h"
#include "web/Signal.h"

#include <deque>
#include <functional>
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
    Millis registrationQuietPeriod { 700 }; // without a new server, before a new service's keys are dealt
    Millis stepInterval { 30 }; // between two looks at what is due, while in office
    Millis releaseTimeout { 3'000 }; // a release is answered when the work under way has ended
    Millis balanceInterval { 400 }; // one write a round at the most, and each wakes every host's watch
    Millis loadHalfLife { 2'000 }; // of what is known of the keys' load: hot keys change within seconds
    Millis minReportInterval { 250 }; // shares follow a burst within about half a second
    // With more, each reports less often, so that the coordinator's work stays bounded. A host notices the loss of its
    // coordinator by its next report, and a change must be in force everywhere within 2 to 2.5 s also then.
    size_t hostsAtMinReportInterval = 80;
    size_t standbys = 2; // hosts that follow the store as well, to take over at once
    size_t serversPerConcurrentMove = 6; // moves at once: one for so many servers
    Millis hostTimeout { 3'000 }; // a host that has not reported for so long no longer counts
    Millis hostListWriteInterval { 2'000 }; // the hosts that report are written to the store, if they have changed
    Millis storeTimeout { 1'000 };
    // Without the store's answer for so long no move can be announced: keys stay where they are.
    Millis storeUnavailableAfter { 1'500 };
};

class Coordinator {
public:
    using TableSink = std::function<void(GrantTable)>; // a table that is newer than the store's

    Coordinator(boost::asio::any_io_executor, const Clock&, const PlatformAdapter&, CoordinatorOptions, Store&,
        PlatformView&, Election&, Metrics&, TableSink);
    boost::asio::awaitable<void> run(); // forever
    void wake() { m_wakeUp.notifyAll(); } // the office or the view changed
    void setTimeSinceStoreAnswer(Millis silence) { m_timeSinceStoreAnswer = silence; }
    wire::HostAdvice onReport(const wire::HostReport&);
    void onEvents(int64_t afterChange, const std::vector<WatchEvent>&); // from the store: told to all hosts

private:
    struct HostState {
        Instant lastReport {};
        double strength = 0; // cores
    };
    struct ServerState {
        std::string address; // also of a server that is no longer registered, to ask it to let go
        uint16_t port = 0;
        std::shared_ptr<HttpClient> client;
        std::deque<std::pair<GrantOrder, std::string>> grants; // with their service; sent one after the other
        unsigned senders = 0; // of these grants, over a connection each; more than one while answers are missing
        Instant lastSentAt {}; // the last of them
    };

    struct Registrations {
        size_t count = 0;
        Instant since {};
    };

    bool isLeader() const;
    GrantTable tableOf(const GrantPlan&) const; // signed by this host
    bool readyForTerm() const; // the view has everything that was written before this host was elected
    void beginTerm();
    void endTerm();
    void step();
    void createMissingPlans();
    bool registrationsSettled(const std::string& service);
    void publish(GrantPlan&);
    void checkPreviousCoordinators(std::string_view reporter);
    void onPreviousStopped(const std::string& service, Instant at, std::string_view why);
    bool isStandby(std::string_view host) const;
    Millis reportInterval() const;
    void balance();
    double loadLifetimeSeconds() const; // of what is known of the keys' load
    double meanWorkMillis(const GrantPlan&) const; // of one request, at the servers of this service
    std::vector<ServerCapacity> capacities(const GrantPlan&);
    void send(GrantOrder, const std::string& service);
    void startSender(const std::string& server, ServerState&);
    void addSendersToStalledServers();
    boost::asio::awaitable<void> sendGrants(std::string server, int64_t term);
    std::optional<uint64_t> fenceToSend(const GrantOrder&, const std::string& service, bool newConnection);
    boost::asio::awaitable<void> executeOrder(GrantOrder, int64_t term, std::string service);
    struct PendingWrite {
        std::vector<GrantTable> tables;
        std::set<std::string, std::less<>> hosts; // empty: as they are
        std::optional<std::string> quarantine; // nothing: as it is
        uint64_t quarantineEdition = 0;
    };

    // As registered; those that say in their answers that they leave count as leaving.
    std::shared_ptr<const GrantPlan::Servers> servers();
    void applyReportedLeaving(const wire::HostReport&);
    void applyRateLimits(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void applyCrashReports(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void publishCrashes(Instant now, std::string_view reporter); // to all hosts, if there is anything new
    int64_t editionInTerm(uint64_t edition) const; // higher than any of a former term
    void applyServerUse(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void addSparePermits(const wire::HostReport&, Instant now, wire::HostAdvice&);
    void publishCrowded(std::span<const std::string>);
    void publishExpectedCrowding(std::span<const BalanceMove>, const KeyLoad&);
    boost::asio::awaitable<void> write(PendingWrite, int64_t term);
    boost::asio::awaitable<int64_t> readBack(std::vector<WriteOperation>);
    void writeChanges();
    std::set<std::string, std::less<>> changedHostList() const; // empty: those in the store are right
    void logEvents(GrantPlan&);
    void updateServerAddresses();
    void useAddressOfLaterIncarnation(const std::string& server); // if a later incarnation of it is registered
    std::shared_ptr<HttpClient> clientFor(const std::string& server); // null: never registered since the term began

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
    int64_t m_term = 0; // 0: not in office
    std::map<std::string, std::unique_ptr<GrantPlan>> m_plans; // by service
    std::map<std::string, Registrations> m_registrations; // of services without a plan
    std::map<std::string, KeyLoad> m_loads; // by service
    std::map<std::string, ServerState, std::less<>> m_servers;
    std::set<std::string, std::less<>> m_reportedLeaving; // whose entries don't
    ServerShares m_shares;
    CrashAggregator m_crashes;
    uint64_t m_writtenQuarantineEdition = 0; // its edition
    uint64_t m_publishedCrashesEdition = 0; // of the two lists that follow
    std::vector<int64_t> m_publishedSuspects;
    std::vector<int64_t> m_publishedQuarantined;
    Instant m_crashesPublishedAt {};
    std::map<std::string, HostState, std::less<>> m_hosts;
    Announcer m_announcer;
    bool m_writing = false;
    LeadershipRules m_leadership;
    std::map<std::string, std::string>
        m_previousCoordinators; // by service: the host whose orders may still be under way
    Instant m_hostListCheckedAt {};
    Instant m_lastBalance {};
    Instant m_mostServersAnsweredAt {}; // most servers don't answer
    Millis m_timeSinceStoreAnswer { 0 };
};

}
