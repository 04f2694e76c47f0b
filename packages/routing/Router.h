// Routes each complete request to the backend server that owns its key, and returns the response.
//
// The router finds the key's owner in the slice table, waits for a slot and a connection, checks the owner and the
// routing lease again immediately before it sends the first byte, and decides whether a failed attempt may be retried.
// Everything here runs on the routing thread.
#pragma once

#include "base/Metrics.h"
#include "base/Spans.h"
#include "callers/CallerServer.h"
#include "decisions/InFlight.h"
#include "decisions/RetryBudget.h"
#include "routing/ErrorResponses.h"
#include "routing/Messages.h"
#include "routing/ServiceRoute.h"
#include "web/Signal.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cumindale {

struct RouterOptions {
    std::string host; // this host's name
    size_t maxKeyBytes = 1'024; // keys above this length are refused
    MonitorOptions monitor;
    size_t responseMemory = 16'000'000; // bytes of the responses that are being read from servers
};

class Router final : public RequestHandler {
public:
    using ReportSink = std::function<void(RoutingReport)>;

    Router(boost::asio::any_io_executor, const Clock&, RouterOptions, Metrics&, SpanLog&, ReportSink);
    ~Router() override;

    // --- From the control thread
    void apply(RoutingUpdate);
    void start(); // starts the periodic reports

    // --- From callers
    RequestPolicy requestPolicy(const CallerHeader&) override;
    boost::asio::awaitable<CallerResponse> handle(CallerRequest&, CallerConnection&) override;
    CallerResponse errorResponse(ErrorKind, const CallerHeader&) override;
    bool ready() const override;

private:
    struct Job; // state of one request

    // Current destination of a key's requests, or the reason why there is none.
    struct Destination {
        ErrorKind error = ErrorKind::None;
        std::shared_ptr<ServerTarget> server;
        uint64_t fence = 0;
        uint64_t firstPoint = 0;
        uint64_t lastPoint = 0;
        Millis workLimit { 0 }; // longest time that one dispatch may take
    };

    // One instant on both clocks, read before the last check of a dispatch.
    struct SendTime {
        Instant monotonic {};
        int64_t unixMillis = 0;
    };

    void applyResources(std::shared_ptr<const Resources>);
    void onReachabilityChange(const std::string& server); // a probe changed the server's reachability
    void adoptTable(std::shared_ptr<const SliceTable>);
    void bindServers(ServiceRoute&);
    Destination locate(const std::string& service, uint64_t point) const;

    ErrorKind prepare(CallerRequest&, Job&) const;
    // NotFresh in place of an error that is final by a configuration which may not be the newest.
    ErrorKind confirmedError(ErrorKind, const CallerHeader&) const;
    boost::asio::awaitable<CallerResponse> runWithRetries(Job&);
    boost::asio::awaitable<ErrorKind> attempt(Job&, CallerResponse&); // one dispatch; None if it set the response
    boost::asio::awaitable<ExchangeResult> dispatch(Job&, const Destination&, SendTime, BackendConnection&);
    const Member* relayFor(const Job&, const Destination&) const; // a host that can reach the server, or null
    boost::asio::awaitable<ErrorKind> relay(Job&, Member, CallerResponse&);
    bool mayRetry(Job&, ErrorKind);
    Millis retryAfter(ErrorKind, const Job&) const;
    void recordLoad(const Job&, int64_t micros);

    boost::asio::awaitable<void> reportLoop();
    void reportNow();
    RoutingReport makeReport() const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    RouterOptions m_options;
    Metrics& m_metrics;
    SpanLog& m_spans;
    ReportSink m_report;
    ErrorResponses m_errorResponses;
    Distribution& m_latency;
    Distribution& m_addedLatency;

    bool m_configured = false; // has received the configuration since the process started
    std::shared_ptr<const Resources> m_resources;
    size_t m_hostCount = 1; // active members of the roster
    std::map<std::string, std::shared_ptr<ServerTarget>> m_servers;
    std::map<std::string, std::unique_ptr<ServiceRoute>, std::less<>> m_routes;
    std::map<std::string, std::vector<Member>> m_relays; // hosts that relay, by server that this host can't reach
    std::map<std::string, std::shared_ptr<ServerPool>> m_peerPools; // connections to hosts that relay, by host
    std::map<std::string, RetryBudget> m_budgets; // by service
    std::shared_ptr<ResponseMemory> m_responseMemory;
    InFlight m_inFlight;
    Signal m_routingChanged; // notified when a table, a routing lease or a server's reachability changes
    Instant m_lastLoadReport {};
};

}
