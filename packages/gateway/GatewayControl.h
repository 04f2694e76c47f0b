// The control thread of a gateway host: follows the store, takes part in the election of the coordinator, reports to
// the elected coordinator, and sends changes to the routing thread.
#pragma once

#include "gateway/Coordinator.h"
#include "gateway/Messages.h"
#include "gateway/PlatformFollower.h"
#include "gateway/RulesWatcher.h"
#include "gateway/StandbyReader.h"
#include "peers/Coordination.h"
#include "resources/Settings.h"

#include <boost/json/fwd.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>

namespace cumindale {

class GatewayControl final : public CoordinationHandler {
public:
    using UpdateSink = std::function<bool(GatewayUpdate)>; // false: the queue is full

    GatewayControl(boost::asio::any_io_executor, const Clock&, const Settings&, const PlatformAdapter&, Store&,
        Metrics&, UpdateSink);
    void start();
    void onRoutingReport(GatewayReport); // from the routing thread
    wire::HostAdvice onReport(const wire::HostReport&) override; // from a host
    void onAdopt(const wire::News&) override; // from the coordinator
    // Resigns if this host is the coordinator. While the store is unavailable, this host remains the coordinator until
    // `until` at most: no other host could be elected, and without renewals the servers would refuse all keys after one
    // grant lease.
    boost::asio::awaitable<void> leave(Instant until);
    std::string statusText() const; // JSON, for operators
    std::string quarantineText() const; // JSON, for operators
    void releaseFromQuarantine(Fingerprint); // sent to the coordinator with the next report

private:
    void onViewChange(const PlatformView::Change&);
    void followWithoutCoordinator();
    size_t knownHosts() const; // that share the store
    bool pushUpdate(GatewayUpdate); // false: the queue is full, and the full state follows
    void pushFullUpdate();
    // --- How recent the operators' document is; GatewayControlRules.cpp
    void pushRulesValidity(); // to the routing thread
    wire::HostAdvice answerReport(const wire::HostReport&, bool mayBeLarge);
    void takeRulesConfirmation(const wire::HostAdvice&, Instant reportedAt);
    void expectRules(int64_t revision, Millis messageTime); // a message with this document may be on its way
    void addRulesStatus(boost::json::object&) const;

    // --- Changes while no coordinator answers; GatewayControlStandby.cpp
    wire::HostAdvice answerAwaitingHost(const wire::HostReport&, bool mayBeLarge);
    bool isAskedByAwaitingHosts() const; // so that this host follows the store
    StandbyAnswer takeStandbyAnswer(const wire::HostAdvice&, Instant askedAt);
    wire::HostReport makeStandbyReport() const;
    void describeHost(wire::HostReport&) const; // without what it has seen of servers

    boost::asio::awaitable<void> spreadReports();
    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> reportOnce();
    boost::asio::awaitable<std::optional<wire::HostAdvice>> reportTo(std::string address, wire::HostReport);
    wire::HostReport makeReport();
    void handleNews(const wire::News&);
    void handleSnapshot(const wire::News&);
    void handleChanges(const wire::News&);
    void handleItems(int64_t afterChange, int64_t lastChange, const std::vector<wire::StoreItem>&);
    // `reportedServers`: ids of the servers in the report that the advice answers.
    void handleAdvice(const wire::HostAdvice&, std::span<const std::string> reportedServers, Instant reportedAt);
    // Permits for the server that the routing thread's last report doesn't take into account yet.
    unsigned unseenPermits(const std::string& server) const;
    void updateBrokers(const wire::HostAdvice&);
    void updateForwardTargets(const wire::HostAdvice&);
    void handleTable(const std::string& text);
    void handleTable(const wire::PackedTable&);
    void updateCrashes(int64_t edition, std::span<const int64_t> suspects, std::span<const int64_t> quarantined);
    void publishCrashes(); // to the routing thread, if they differ from what it was sent last
    Millis campaignDelay() const;
    bool wouldCoordinateBadly() const; // this host reaches no servers, or too few

    // Of another host. Beyond it, that host doesn't stand in for this host's own watch.
    static constexpr Millis maxStoreSilence { 1'500 };

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const Settings& m_settings;
    UpdateSink m_updateSink;
    Counter& m_peerBytes;
    Counter& m_reports;
    Counter& m_reportsFailed;
    Counter& m_newsTaken;
    Counter& m_newsGaps;
    Counter& m_awaitingAnswered;
    PlatformView m_view;
    PlatformFollower m_follower;
    RulesWatcher m_rulesWatcher;
    StandbyReader m_standbyReader;
    Election m_election;
    Coordinator m_coordinator;
    NewsRelay m_relay;
    Signal m_permitNeeded; // a request waits for a permit
    std::unique_ptr<FrameServer> m_server;
    std::unique_ptr<CoordinationLink> m_link; // to the coordinator
    std::string m_linkAddress;
    GatewayReport m_pendingReport; // what the routing thread has reported since the last report to the coordinator
    bool m_coordinatorAnswers = false;
    bool m_isStandby = true; // follows the store to take over at once; true until a coordinator says otherwise
    Millis m_reportInterval { 250 };
    bool m_pushFailed = false;
    size_t m_mostHosts = 1; // that a coordinator has reported
    RulesValidity m_rulesValidity; // as last sent to the routing thread
    std::shared_ptr<const HostShares> m_shares; // from the last answer to a report; null: none yet
    std::shared_ptr<const RateLimits> m_limits; // as last sent by the coordinator; null: none yet
    int64_t m_ratesEdition = 0; // of m_limits
    std::shared_ptr<const BrokerList> m_brokers; // as last sent by a coordinator; null: none yet
    std::shared_ptr<const std::vector<ForwardTarget>> m_forwardTargets; // as last sent by a coordinator; null: none yet
    int64_t m_forwardTargetsChecksum = 0;
    bool m_cutOff = false; // as the routing thread reported last
    bool m_leaving = false;
    bool m_exchangesSlots = false; // as the routing thread reported last
    bool m_awaitsPermit = false; // a request has waited for a permit since the last report
    int64_t m_crashesEdition = 0; // of m_suspects and m_quarantined
    std::set<Fingerprint> m_suspects; // as last sent by the coordinator
    std::set<Fingerprint> m_quarantined; // as last sent by the coordinator
    std::shared_ptr<const CrashUpdate> m_crashNews; // as last sent to the routing thread; null: none yet
    std::vector<Fingerprint> m_unreportedReleases; // not yet acknowledged by a coordinator
    int64_t m_answeringTerm = 0; // term of the coordinator that answered the last report; 0: none did
    Instant m_lastReport {};
    Instant m_lastAdvice {};
    int64_t m_lastAdviceTerm = 0; // 0: none received yet
    int64_t m_lastAdviceAnsweredAt = 0; // on the coordinator's clock, see HostAdvice
    Instant m_lastStandbyAnswer {}; // from which this host has had all recent changes
    Instant m_awaitingAskedAt {}; // when a host that awaits a coordinator asked this one last
};

}
