// Routes the requests that a gateway host receives, from the complete request to its response.
//
// Finds the route by host name and path, the service by the route's traffic split, and the server by the request's key
// (keyed services) or by load (other services). Then waits for a slot at the server, sends the request, and decides
// whether a failed request may be retried. The server's response is forwarded byte for byte. Everything here runs on
// one thread.
#pragma once

#include "base/Metrics.h"
#include "callers/CallerServer.h"
#include "decisions/RetryBudget.h"
#include "decisions/RouteRules.h"
#include "decisions/ShutdownWindow.h"
#include "decisions/WarmUp.h"
#include "gateway/ForwardHeaders.h"
#include "gateway/Messages.h"
#include "gateway/PeerForwarder.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/ReachQueries.h"
#include "gateway/RequestCrashes.h"
#include "gateway/RequestLog.h"
#include "gateway/ServerReachMonitor.h"
#include "gateway/SlotExchange.h"
#include "gateway/Upstream.h"
#include "gateway/UpstreamRegistry.h"
#include "resources/Settings.h"
#include "web/Signal.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <utility>

namespace cumindale {

struct GatewayJob;

struct GatewayOptions {
    std::string host; // this host's name
    std::string dataCentre;
    Endpoint peers; // where other hosts reach this one
    GatewaySettings settings;
    Millis moveWait { 500 }; // longest wait for a key that is moving; a move takes about half of it
    size_t responseMemory = 16'000'000; // bytes of the responses that are being read from servers
    Millis connectTimeout { 250 }; // latency between hosts and servers is a few ms at most
};

class Gateway final : public RequestHandler {
public:
    using ReportSink = std::function<void(GatewayReport)>;
    using BoundsSink = std::function<void(const CallerBounds&)>; // called when the operators' limits on callers change

    Gateway(boost::asio::any_io_executor, const Clock&, const PlatformAdapter&, GatewayOptions, Metrics&, ReportSink,
        BoundsSink);
    ~Gateway() override;

    // --- From control
    void apply(GatewayUpdate);
    void start(); // starts the periodic reports
    void stopBy(Instant end); // the process ends then; see ShutdownWindow.h

    // --- From callers
    RequestPolicy requestPolicy(const CallerHeader&) override;
    boost::asio::awaitable<CallerResponse> handle(CallerRequest&, CallerConnection&) override;
    CallerResponse errorResponse(ErrorKind, const CallerHeader&) override;
    bool ready() const override;

    // --- From other hosts, which have no path to the servers
    boost::asio::awaitable<CallerResponse> handleForwarded(CallerRequest&, CallerConnection&);
    CallerResponse forwardedErrorResponse(ErrorKind, const CallerHeader&);
    boost::asio::awaitable<CallerResponse> handleReachQuery(std::string server); // see ReachQueries.h

    std::string slotsText() const { return m_slots.statusText(); } // JSON, for operators

private:
    using Job = GatewayJob;

    struct Located {
        ErrorKind error = ErrorKind::None;
        std::shared_ptr<Upstream> server;
        bool worthWaiting = false; // the error is likely to pass within moveWait
        Instant readyAt = Instant::max(); // when the refusing server accepts requests again
    };

    void applyShares(const HostShares&);
    void evictMoved(const GrantTable& before, const GrantTable& after);
    ErrorKind prepare(Job&);
    Millis callerTimeout(const CallerHeader&, const HostRoute&) const;
    // False while this host is stopping if there would be no answer before its end. `usual`: see ShutdownWindow.
    bool maySend(Instant now, Instant deadline, Millis usual = Millis(0)) const
    {
        return !m_shutdown || m_shutdown->maySend(now, deadline, usual);
    }
    // NotFresh in place of an error that is final by rules which may not be the newest.
    ErrorKind confirmedError(ErrorKind, bool forwarded) const;
    CallerResponse refuseUnhandled(ErrorKind, const CallerHeader&);
    Located locate(const Job&);
    Located locateKey(const Job&);
    Located chooseByLoad(const Job&);
    // When all candidates are warming up, backing off or at their limits.
    Located chooseFallback(const Job&, std::span<const std::shared_ptr<Upstream>>);
    void recordLostResponse(const Job&, const std::shared_ptr<Upstream>&, ErrorKind);
    std::pair<ErrorKind, Instant> unreadyReason(const Upstream&, Instant now) const; // and until when; None: ready
    // False while this host must wait because the server is warming up or has announced a rate limit.
    bool maySendTo(const Upstream&, Instant now) const;
    boost::asio::awaitable<CallerResponse> serve(Job&);
    boost::asio::awaitable<CallerResponse> run(Job&);
    boost::asio::awaitable<ErrorKind> tryOnce(Job&, CallerResponse&);
    boost::asio::awaitable<ErrorKind> takeOwnSlot(Job&, Upstream&);
    boost::asio::awaitable<ErrorKind> takeCountedSlot(Job&, Upstream&, std::string pool);
    boost::asio::awaitable<ErrorKind> takeGrantedSlot(Job&, std::shared_ptr<Upstream>&);
    bool mayUseGranted(const Job&, const Upstream& chosen, const Upstream& named, Instant now) const;
    void releaseSlot(Job&, Upstream&, Millis took, bool refused);
    SlotRequest slotRequestOf(const Job&) const;
    bool mustForward(const Job&, const Upstream&) const; // this host has no path to the server
    bool startTrial(const Job&, const Upstream&); // whether to forward a request that found no path to the server
    boost::asio::awaitable<ErrorKind> forwardTrial(Job&, const Upstream&, CallerResponse&);
    boost::asio::awaitable<ErrorKind> forward(Job&, const Upstream&, CallerResponse&);
    ForwardResult recordForwarded(Job&, const ForwardTarget&, ExchangeResult&);
    void onReachChange(bool cutOff);
    boost::asio::awaitable<bool> confirmServerGone(std::string server); // that accepts no connection of this host
    boost::asio::awaitable<ErrorKind> exchange(Job&, Upstream&, ConnectionPointer, CallerResponse&);
    void applyNotice(const Job&, Upstream&, const BackendResponse&); // from the response's headers
    void applyAnnouncedLimit(const Job&, Upstream&, std::optional<PerSecond>); // no value: no limit announced
    bool answeredByAnother(const ExchangeResult&, std::string_view server) const;
    ErrorKind classify(const Job&, const ExchangeResult&) const; // None: the response goes to the caller
    bool mayRetry(Job&, ErrorKind);
    CallerResponse refuse(Job&, ErrorKind);
    Millis retryAfter(const Job&, ErrorKind);
    double retryBurst() const; // maximum of unused retries that this host may accumulate
    RetryBudget& budgetOf(const std::string& service);
    void logRequest(const Job&, std::string_view event, ErrorKind, std::string_view server);
    int64_t rulesAgeMillis() const; // since the rules were last known to be the newest; -1: never

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
    Counter& m_forwardedServed;

    RequestCrashes m_crashes;
    RequestLog m_log;
    std::shared_ptr<const RouteRules> m_rules; // null until the first rules arrive
    RulesValidity m_rulesValidity;
    bool m_hasReadStore = false; // until then most servers may be unknown
    std::optional<ShutdownWindow> m_shutdown; // while this host is stopping
    std::shared_ptr<ResponseMemory> m_responseMemory;
    UpstreamRegistry m_servers;
    SlotExchange m_slots;
    ServerReachMonitor m_reach;
    PeerForwarder m_forwarder;
    ReachQueries m_queries;
    std::set<BackendConnection*> m_idempotentExchanges; // with servers, in progress
    int64_t m_registeredRevision = 0; // GatewayUpdate::serversAsOf
    size_t m_hosts = 0; // number of hosts that share the servers; 0: not known yet
    HostCount m_hostCount;
    uint64_t m_lastSharesNumber = 0;
    std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>> m_tables; // by service
    std::map<std::string, RetryBudget, std::less<>> m_budgets; // by service
    TrafficSplitter m_splits;
    std::map<std::string, Millis, std::less<>> m_longestCallerTimeout; // by route
    // By service and key: busy µs since the last report.
    std::map<std::string, std::unordered_map<uint32_t, uint64_t>> m_keyUse;
    Signal m_changed; // notified when tables or servers change
    Instant m_lastReport {};
    Signal m_urgentReport; // wakes the report loop before the interval is over
    bool m_reportIsUrgent = false; // reportEarly() was called since the last report
};

}
