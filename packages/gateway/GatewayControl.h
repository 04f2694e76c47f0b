// The control duty of a gateway host: follows the store, stands for the coordinator's office, reports to whoever holds
// it, and tells the routing duty what has changed.
#pragma once

#include "gateway/Coordinator.h"
#include "gateway/Messages.h"
#include "gateway/PlatformFollower.h"
#include "peers/Coordination.h"
#include "resources/Settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>

namespace cumindale {

class GatewayControl final : public CoordinationHandler {
public:
    using UpdateSink = std::function<bool(GatewayUpdate)>; // false: the ring is full

    GatewayControl(boost::asio::any_io_executor, const Clock&, const Settings&, const PlatformAdapter&, Store&,
        Metrics&, UpdateSink);
    void start();
    void onRoutingReport(GatewayReport); // from the routing duty
    wire::HostAdvice onReport(const wire::HostReport&) override; // from a host
    void onAdopt(const wire::News&) override; // from the coordinator
    // Gives the office up, if it holds it. While the store is away it stays in office, but not beyond `until`: no other
    // host could be elected, and without renewals every key would be refused after one hold.
    boost::asio::awaitable<void> leave(Instant until);
    std::string statusText() const; // JSON, for operators
    std::string quarantineText() const; // likewise
    void releaseFromQuarantine(Fingerprint); // told to the coordinator with the next report

private:
    void onViewChange(const PlatformView::Change&);
    void pushUpdate(GatewayUpdate);
    void pushFullUpdate();
    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> reportOnce();
    boost::asio::awaitable<std::optional<wire::HostAdvice>> reportTo(std::string address, wire::HostReport);
    wire::HostReport makeReport();
    void handleNews(const wire::News&);
    void handleAdvice(
        const wire::HostAdvice&, std::span<const std::string> reportedServers); // `named`: servers in the report
    unsigned unseenPermits(const std::string& server) const; // by the routing duty's last figures
    void handleTable(const std::string& text);
    void updateCrashes(int64_t edition, std::span<const int64_t> suspects, std::span<const int64_t> quarantined);
    void publishCrashes(); // to the routing duty, if they differ from what it knows
    Millis candidacyDelay() const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const Settings& m_settings;
    UpdateSink m_updateSink;
    Counter& m_peerBytes;
    Counter& m_reports;
    Counter& m_reportsFailed;
    Counter& m_newsTaken;
    Counter& m_newsGaps;
    PlatformView m_view;
    PlatformFollower m_follower;
    Election m_election;
    Coordinator m_coordinator;
    NewsRelay m_relay;
    Signal m_permitNeeded; // a request waits for a permit
    std::unique_ptr<FrameServer> m_server;
    std::unique_ptr<CoordinationLink> m_link; // to the coordinator
    std::string m_linkAddress;
    GatewayReport m_pendingReport; // since the last report
    bool m_coordinatorAnswers = false;
    bool m_isStandby = true; // until a coordinator says otherwise
    Millis m_reportInterval { 250 };
    bool m_pushFailed = false;
    std::shared_ptr<const HostShares> m_shares; // the last answer; null: none yet
    std::shared_ptr<const RateLimits> m_limits; // as the coordinator said last; null: nothing yet
    int64_t m_ratesEdition = 0; // of these
    bool m_awaitsPermit = false; // since the last report
    int64_t m_crashesEdition = 0; // of the two sets that follow
    std::set<Fingerprint> m_suspects; // as the coordinator said last
    std::set<Fingerprint> m_quarantined; // likewise
    std::shared_ptr<const CrashNews> m_crashNews; // as the routing duty knows it; null: nothing yet
    std::vector<Fingerprint> m_unreportedReleases; // not told to the coordinator yet
    int64_t m_answeringTerm = 0; // of the coordinator that answered last
    Instant m_lastReport {};
    Instant m_lastAdvice {};
};

}
