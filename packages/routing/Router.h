// The routing duty: from a whole request to its answer.
//
// Finds the key's owner in the table, checks freshness last thing before the first byte, waits for a slot,
// dispatches, and decides whether another try is allowed. Everything here runs on one thread.
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
    size_t maxKeyBytes = 1'024; // longest key
    MonitorOptions monitor;
};

class Router final : public RequestHandler {
public:
    using ReportSink = std::function<void(RoutingReport)>;

    Router(boost::asio::any_io_executor, const Clock&, RouterOptions, Metrics&, SpanLog&, ReportSink);
    ~Router() override;

    // --- From control
    void apply(RoutingUpdate);
    void start(); // begins to report

    // --- From callers
    BodyRule bodyRule(const CallerHeader&) override;
    boost::asio::awaitable<CallerResponse> handle(CallerRequest&, CallerPresence&) override;
    CallerResponse refusal(ErrorKind) override;
    bool ready() const override;

private:
    struct Job; // one request on its way

    // Where a key's requests go now, or why they can't.
    struct Destination {
        ErrorKind error = ErrorKind::None;
        std::shared_ptr<ServerTarget> server;
        uint64_t fence = 0;
        uint64_t firstPoint = 0;
        uint64_t lastPoint = 0;
        Millis workLimit { 0 }; // of one dispatch
    };

    // One moment on both clocks, taken before the last check of a dispatch.
    struct SendTime {
        Instant monotonic {};
        int64_t unixMillis = 0;
    };

    void applyResources(std::shared_ptr<const Resources>);
    void onReachabilityChange(const std::string& server); // a probe changed what this host sees of it
    void adoptTable(std::shared_ptr<const SliceTable>);
    void bindServers(ServiceRoute&);
    Destination locate(const std::string& service, uint64_t point) const;

    ErrorKind prepare(CallerRequest&, Job&) const;
    boost::asio::awaitable<CallerResponse> runWithRetries(Job&);
    boost::asio::awaitable<ErrorKind> attempt(Job&, CallerResponse&); // one dispatch, or why there was none
    boost::asio::awaitable<ExchangeResult> dispatch(Job&, const Destination&, SendTime, BackendConnection&);
    const Member* relayFor(const Job&, const Destination&) const; // a host that reaches the server, if any
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

    bool m_configured = false; // has heard the configuration since it started
    std::shared_ptr<const Resources> m_resources;
    size_t m_hostCount = 1;
    std::map<std::string, std::shared_ptr<ServerTarget>> m_servers;
    std::map<std::string, std::unique_ptr<ServiceRoute>, std::less<>> m_routes;
    std::map<std::string, std::vector<Member>> m_relays; // by server that this host can't reach
    std::map<std::string, std::shared_ptr<ServerPool>> m_peerPools; // pools to hosts that relay
    std::map<std::string, RetryBudget> m_budgets;
    InFlight m_inFlight;
    Signal m_routingChanged; // a table, freshness, or a server's sight changed
    Instant m_lastLoadReport {};
};

}
