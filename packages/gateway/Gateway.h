// The routing duty of a gateway host: from a whole request to its answer.
//
// Finds the route by host name and path, the service by its split, and the server by the request's key (keyed
// services) or by load (others); waits for a slot there, sends, and decides whether another try is allowed. What the
// server answers is passed on byte for byte. Everything here runs on one thread.
#pragma once

#include "base/Metrics.h"
#include "callers/CallerServer.h"
#include "decisions/CrashEvidence.h"
#include "decisions/RetryBudget.h"
#include "decisions/RouteRules.h"
#include "decisions/WarmUp.h"
#include "gateway/Messages.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/Upstream.h"
#include "resources/Settings.h"
#include "web/Signal.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace cumindale {

struct GatewayOptions {
    std::string host; // this host's name
    std::string dataCentre;
    GatewaySettings settings;
    Millis moveWait { 500 }; // for a key that is between two owners; a move takes about half of it
    Millis connectTimeout { 250 }; // hosts and servers are at most a few ms apart
};

class Gateway final : public RequestHandler {
public:
    using ReportSink = std::function<void(GatewayReport)>;
    using BoundsSink = std::function<void(const CallerBounds&)>; // the operators' limits on callers have changed

    Gateway(boost::asio::any_io_executor, const Clock&, const PlatformAdapter&, GatewayOptions, Metrics&, ReportSink,
        BoundsSink);
    ~Gateway() override;

    // --- From control
    void apply(GatewayUpdate);
    void start(); // begins to report

    // --- From callers
    BodyRule bodyRule(const CallerHeader&) override;
    boost::asio::awaitable<CallerResponse> handle(CallerRequest&, CallerPresence&) override;
    CallerResponse refusal(ErrorKind) override;
    bool ready() const override;

private:
    struct Job; // one request on its way

    struct Located {
        ErrorKind error = ErrorKind::None;
        std::shared_ptr<Upstream> server;
        bool worthWaiting = false; // the error passes within a move's time
        Instant readyAt = Instant::max(); // of a server that is warming up or rests: it takes requests then
    };

    void applyServers();
    void applyShares(const HostShares&);
    void evictMoved(const GrantTable& before, const GrantTable& after);
    ErrorKind prepare(Job&);
    Located locate(const Job&);
    Located locateKey(const Job&);
    Located chooseByLoad(const Job&);
    Located chooseFallback(const Job&); // all servers are warming up, rest or are at their limits
    const std::vector<Fingerprint>& fingerprintsOf(const Job&) const;
    Fingerprint relevantFingerprint(const Job&) const; // the quarantined one, if one is
    bool quarantined(const Job&) const;
    bool suspect(const Job&) const; // not to be sent a second time
    void recordLostResponse(const Job&, const std::shared_ptr<Upstream>&, ErrorKind);
    void recordServerGone(const Upstream&, std::string_view why); // the requests that were there may have crashed it
    boost::asio::awaitable<void> checkReachable(std::shared_ptr<Upstream>); // whether it still takes connections
    std::pair<ErrorKind, Instant> unreadyReason(
        const Upstream&, Instant now) const; // and until when; None: it is ready
    // False: this host must wait for its turn, as the server is warming up or has named a limit.
    bool maySendTo(const Upstream&, Instant now) const;
    bool anyWarm(const std::string& service, Instant now) const;
    boost::asio::awaitable<CallerResponse> run(Job&);
    boost::asio::awaitable<ErrorKind> tryOnce(Job&, CallerResponse&);
    boost::asio::awaitable<ErrorKind> exchange(Job&, Upstream&, ConnectionPointer, CallerResponse&);
    void applyNotice(const Job&, Upstream&, const BackendResponse&); // what a server says of itself in an answer
    void applyAnnouncedLimit(const Job&, Upstream&, std::optional<PerSecond>); // nothing: it names no limit any more
    bool answeredByAnother(const ExchangeResult&, std::string_view server) const;
    ErrorKind classify(const Job&, const ExchangeResult&) const; // what the server's answer means for the request
    bool mayRetry(Job&, ErrorKind);
    CallerResponse refuse(const Job&, ErrorKind);
    Millis retryAfter(const Job&, ErrorKind);
    double retryBurst() const; // second sends that this host may have saved up
    RetryBudget& budgetOf(const std::string& service);
    void logRequest(const Job&, std::string_view event, ErrorKind, std::string_view server);
    bool mayLog(); // within the bound on lines about requests

    boost::asio::awaitable<void> reportLoop();
    void reportEarly();
    GatewayReport makeReport();

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const PlatformAdapter& m_adapter;
    const RequestHeaderNames& m_names;
    GatewayOptions m_options;
    Metrics& m_metrics;
    ReportSink m_report;
    BoundsSink m_boundsSink;
    Distribution& m_latency;
    Distribution& m_added;
    Counter& m_answered;
    Counter& m_retries;

    std::shared_ptr<const RouteRules> m_rules; // null until the first
    std::shared_ptr<const ServerMap> m_registeredServers;
    int64_t m_registeredRevision = 0; // change of the store
    size_t m_hosts = 0; // that share the servers; 0: not known yet
    HostCount m_hostCount;
    HostCrashTracker m_crashes;
    uint64_t m_lastSharesNumber = 0;
    std::vector<std::string> m_sharedServers; // servers of which this host has a share
    std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>> m_tables; // by service
    std::map<std::string, std::shared_ptr<Upstream>, std::less<>> m_servers; // by id
    std::map<std::string, std::vector<std::shared_ptr<Upstream>>, std::less<>> m_byService;
    std::map<std::string, RetryBudget, std::less<>> m_budgets; // by service
    TrafficSplitter m_splits;
    std::map<std::string, Millis, std::less<>> m_longestCallerTimeout; // of callers, by route
    std::map<std::string, std::unordered_map<uint32_t, uint64_t>> m_keyUse; // busy µs since the last report
    double m_logTokens = 0; // that may be written at once
    uint64_t m_droppedLogLines = 0; // since the last that was written
    Instant m_logTokensAt {};
    Signal m_changed; // tables or servers
    Instant m_lastReport {};
    Signal m_urgentReport; // a request waits for a permit
    bool m_reportIsUrgent = false; // since the last report
};

}
