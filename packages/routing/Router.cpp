#include "routing/Router.h"

#include "base/Hash.h"
#include "base/Random.h"
#include "routing/RequestHeaders.h"

#include <algorithm>
#include <boost/beast/http.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Sections: state, updates from control, requests, one attempt, retry delays, reports.

// --- State

namespace {

    constexpr size_t maxReportedHotKeys = 64;
    constexpr Millis stoppingReportInterval { 20 }; // while slices are stopping
    constexpr Millis reportInterval { 100 };
    constexpr Millis loadReportInterval { 1'000 };
    constexpr Millis connectTimeout { 500 };
    constexpr Millis unreachableRetryDelay { 20 }; // after a failed connection attempt
    constexpr Millis retryDelay { 4 }; // plus jitter of up to the same time
    constexpr unsigned maxAttempts = 4;

}

struct Router::Job {
    CallerRequest& request;
    CallerConnection& presence;
    const std::shared_ptr<const Resources> resources; // keeps `service` alive
    const ServiceResource* service = nullptr;
    RouteRule rule;
    uint64_t point = 0;
    Instant arrived {};
    Instant deadline {};
    int64_t arrivedMicros = 0;
    int64_t serverMicros = 0; // total time of exchanges with servers
    TraceContext trace;
    uint64_t parentSpan = 0;
    unsigned attempts = 0; // dispatches so far
    bool maybeRan = false; // an earlier attempt may have run
    bool relayed = false; // received from a host that can't reach the owner; is not relayed again
};

Router::Router(asio::any_io_executor executor, const Clock& clock, RouterOptions options, Metrics& metrics,
    SpanLog& spans, ReportSink report)
    : m_executor(executor)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_metrics(metrics)
    , m_spans(spans)
    , m_report(std::move(report))
    , m_errorResponses(metrics)
    , m_latency(metrics.distribution("request_total"))
    , m_addedLatency(metrics.distribution("request_added"))
    , m_resources(std::make_shared<Resources>())
    , m_responseMemory(std::make_shared<ResponseMemory>(m_options.responseMemory))
    , m_routingChanged(executor)
{
}

Router::~Router() = default;

void Router::start() { spawnLoop(m_executor, "reports", reportLoop()); }

// --- Updates from control

void Router::apply(RoutingUpdate update)
{
    if (update.relays)
        m_relays = std::move(*update.relays);
    if (update.roster)
        m_hostCount = std::max<size_t>(1, update.roster->activeMemberCount());
    if (update.resources)
        applyResources(std::move(update.resources));
    else if (update.roster && m_configured)
        applyResources(m_resources);
    if (update.table)
        adoptTable(std::move(update.table));
    for (const auto& lease : update.leases) {
        const auto route = m_routes.find(lease.service);
        if (route != m_routes.end() && route->second->table->version == lease.tableVersion)
            route->second->leaseValidUntil = lease.validUntil;
    }
    m_routingChanged.notifyAll();
}

void Router::applyResources(std::shared_ptr<const Resources> resources)
{
    m_configured = true;
    m_resources = std::move(resources);
    std::erase_if(m_servers, [&](const auto& entry) { return !m_resources->servers.count(entry.first); });
    for (const auto& [name, resource] : m_resources->servers) {
        auto& server = m_servers[name];
        const bool addressChanged = server
            && (server->pool.server().address != resource.address || server->pool.server().port != resource.port);
        if (!server || addressChanged) {
            server = std::make_shared<ServerTarget>(m_executor, m_clock, resource, m_options.monitor, m_responseMemory);
            server->prober
                = std::make_shared<Prober>(m_executor, m_clock, m_options.host, resource.address, resource.port,
                    m_options.monitor, server->pool.monitor(), [this, name = name] { onReachabilityChange(name); });
            server->prober->start();
        }
        server->pool.update(resource, m_hostCount);
    }
    for (auto& [name, route] : m_routes)
        bindServers(*route);
    for (const auto& [name, service] : m_resources->services)
        m_budgets.try_emplace(name, RetryBudgetOptions { service.retryRatio, 10 });
    reportNow();
}

void Router::onReachabilityChange(const std::string& name)
{
    const auto found = m_servers.find(name);
    if (found == m_servers.end())
        return;
    ServerTarget& server = *found->second;
    const Reachability reachability = server.pool.monitor().reachability();
    const bool acceptsNewWork = server.pool.monitor().acceptsNewWork();
    if (!acceptsNewWork) {
        server.pool.closeIdleConnections();
        server.pool.evictQueue();
    }
    if (reachability == Reachability::Unresponsive) {
        // Responses may never arrive; idempotent requests are retried and reach the next owner. Other requests keep
        // waiting for their responses.
        server.abandonDispatchesBefore(Instant::max());
    } else if (acceptsNewWork && !server.acceptedNewWork) {
        // A new connection got an answer after an old one got none: requests on old connections may never be answered.
        server.abandonDispatchesBefore(m_clock.now() - m_options.monitor.probeTimeout);
    }
    server.acceptedNewWork = acceptsNewWork;
    if (reachability == Reachability::Refused)
        m_inFlight.serverGone(name);
    m_routingChanged.notifyAll();
    reportNow();
}

void Router::adoptTable(std::shared_ptr<const SliceTable> table)
{
    auto& route = m_routes[table->service];
    // Tables may arrive out of order; an older version is ignored.
    if (route && route->table->version >= table->version)
        return;
    // Requests wait in a queue per server, but their keys may have other owners in the new table.
    if (route) {
        for (const auto& server : route->servers) {
            if (server)
                server->pool.evictQueue();
        }
    }
    route = std::make_unique<ServiceRoute>(std::move(table));
    bindServers(*route);
    reportNow();
}

void Router::bindServers(ServiceRoute& route)
{
    route.servers.clear();
    for (const auto& name : route.table->servers) {
        const auto found = m_servers.find(name);
        route.servers.push_back(found == m_servers.end() ? nullptr : found->second);
    }
}

Router::Destination Router::locate(const std::string& service, uint64_t point) const
{
    const auto found = m_routes.find(service);
    if (found == m_routes.end())
        return { ErrorKind::NoOwner, nullptr };
    const ServiceRoute& route = *found->second;
    if (m_clock.now() >= route.leaseValidUntil)
        return { ErrorKind::NotFresh, nullptr };
    const size_t index = route.index.indexOf(point);
    const Slice& slice = route.table->slices[index];
    if (slice.state == SliceState::Stopping)
        return { ErrorKind::Moving, nullptr };
    if (slice.state == SliceState::Unowned || !route.servers[slice.owner])
        return { ErrorKind::NoOwner, nullptr };
    const auto& owner = route.servers[slice.owner];
    if (!owner->pool.monitor().acceptsNewWork())
        return { ErrorKind::ServerUnreachable, owner };
    return { ErrorKind::None, owner, slice.fence, slice.begin, route.table->lastPointOf(index),
        route.table->workLimit };
}

// --- Requests

RequestPolicy Router::requestPolicy(const CallerHeader& header)
{
    // Before the configuration arrives no service is known. "Unknown service" would be wrong, and callers wouldn't
    // retry.
    if (!m_configured)
        return { ErrorKind::NotFresh, 0 };
    const std::string_view path = pathOf(header.target());
    const auto* service = m_resources->serviceForPath(path);
    if (!service)
        return { ErrorKind::UnknownService, 0 };
    return { ErrorKind::None, service->largestBody, ruleFor(*service, header.method_string(), path).idempotent };
}

bool Router::ready() const
{
    const Instant now = m_clock.now();
    return m_configured && std::all_of(m_routes.begin(), m_routes.end(), [now](const auto& entry) {
        return now < entry.second->leaseValidUntil;
    });
}

// Without valid leases this host may have missed a newer configuration, and the host that relays a request has found it
// to be proper by a configuration that may be newer than the one here.
ErrorKind Router::confirmedError(ErrorKind error, const CallerHeader& header) const
{
    const bool isFinal = ready() && !header.count(relayedHeader);
    return errorInfo(error).restsOnRules && !isFinal ? ErrorKind::NotFresh : error;
}

CallerResponse Router::errorResponse(ErrorKind kind, const CallerHeader& header)
{
    return m_errorResponses.make(confirmedError(kind, header), withJitter(Millis(500)), false);
}

ErrorKind Router::prepare(CallerRequest& request, Job& job) const
{
    const std::string_view target = request.target();
    job.service = job.resources->serviceForPath(pathOf(target));
    if (!job.service)
        return ErrorKind::UnknownService;
    const std::string_view key = keyOf(*job.service, request);
    if (key.empty())
        return ErrorKind::MissingKey;
    if (key.size() > m_options.maxKeyBytes)
        return ErrorKind::KeyTooLong;
    job.point = pointOfKey(key);
    job.rule = ruleFor(*job.service, request.method_string(), pathOf(target));
    // A caller or a relaying host may set a shorter timeout than the service's rule.
    const int64_t callerTimeout = std::strtoll(std::string(request[timeoutHeader]).c_str(), nullptr, 10);
    job.deadline
        = job.arrived + (callerTimeout > 0 ? std::min(job.rule.deadline, Millis(callerTimeout)) : job.rule.deadline);
    job.relayed = request.count(relayedHeader) > 0;
    const auto parent = parseTraceparent(request[traceHeader]);
    job.trace = parent ? *parent : TraceContext { randomNumber(), randomNumber(), 0 };
    job.parentSpan = job.trace.span;
    job.trace.span = randomNumber();
    stripForServer(request);
    return ErrorKind::None;
}

asio::awaitable<CallerResponse> Router::handle(CallerRequest& request, CallerConnection& presence)
{
    Job job { request, presence, m_resources };
    job.arrived = m_clock.now();
    job.arrivedMicros = m_clock.monotonicMicros();
    const ErrorKind fault = prepare(request, job);
    if (fault != ErrorKind::None)
        co_return errorResponse(fault, request.base());
    m_budgets.at(job.service->name).deposit();
    CallerResponse response = co_await runWithRetries(job);
    const int64_t total = m_clock.monotonicMicros() - job.arrivedMicros;
    m_latency.add(static_cast<double>(total));
    m_addedLatency.add(static_cast<double>(total - job.serverMicros));
    m_spans.add(
        { job.trace, job.parentSpan, "caller", m_options.host + " " + job.service->name, job.arrivedMicros, total });
    response.set("Cumindale-Trace-Id", traceId(job.trace));
    co_return response;
}

asio::awaitable<CallerResponse> Router::runWithRetries(Job& job)
{
    for (;;) {
        CallerResponse response;
        const ErrorKind error = co_await attempt(job, response);
        if (error == ErrorKind::None)
            co_return response;
        const bool timeLeft = m_clock.now() < job.deadline;
        if (!timeLeft || job.presence.disconnected || !mayRetry(job, error))
            co_return m_errorResponses.make(error, retryAfter(error, job), job.maybeRan);
        if (job.attempts)
            co_await sleepFor(withJitter(retryDelay)); // requests that failed at once shouldn't all retry at once
    }
}

bool Router::mayRetry(Job& job, ErrorKind error)
{
    const ErrorInfo& answer = errorInfo(error);
    if (!answer.retryable)
        return false;
    const bool certainlyNotRun = answer.ran == Ran::No && !job.maybeRan;
    if (!certainlyNotRun && !job.rule.idempotent)
        return false;
    // Waiting for a reachable owner is not a retry. Only attempts that contacted a server spend the retry budget.
    if (error == ErrorKind::NotFresh || error == ErrorKind::Moving || error == ErrorKind::NoOwner
        || error == ErrorKind::ServerUnreachable)
        return true;
    return job.attempts < maxAttempts && m_budgets.at(job.service->name).tryWithdraw();
}

// --- One attempt

asio::awaitable<ErrorKind> Router::attempt(Job& job, CallerResponse& response)
{
    const std::string& service = job.service->name;
    Destination destination = locate(service, job.point);
    if (const Member* peer = relayFor(job, destination))
        co_return co_await relay(job, *peer, response);
    if (destination.error != ErrorKind::None) {
        co_await m_routingChanged.wait(job.deadline - m_clock.now());
        co_return destination.error;
    }
    const auto server = destination.server;
    const int64_t queuedAt = m_clock.monotonicMicros();
    const auto admitted = co_await server->pool.admit(job.rule.priority, job.arrived, job.deadline);
    if (admitted == ServerPool::AdmitResult::Refused)
        co_return ErrorKind::Overloaded;
    if (admitted == ServerPool::AdmitResult::TimedOut)
        co_return ErrorKind::DeadlineBeforeSend;
    if (admitted == ServerPool::AdmitResult::Evicted)
        co_return ErrorKind::Moving;
    const int64_t startedAt = m_clock.monotonicMicros();
    if (startedAt - queuedAt > 1000)
        m_spans.add({ { job.trace.traceHigh, job.trace.traceLow, randomNumber() }, job.trace.span, "queue",
            server->pool.server().name, queuedAt, startedAt - queuedAt });

    auto connection = co_await server->pool.acquireConnection(job.rule.idempotent, connectTimeout);
    if (!connection) {
        server->pool.release(job.rule.priority, Millis(0));
        co_await m_routingChanged.wait(unreachableRetryDelay);
        co_return ErrorKind::ServerUnreachable;
    }
    // The clocks are read before the check, and the request is sent after the check. If the process is paused after the
    // check, the request then carries a deadline that has already passed. A deadline computed after the check would let
    // the old request run.
    const SendTime time { m_clock.now(), m_clock.unixMillis() };
    // This check is the last step before the first byte: the table may have changed or its lease expired while the
    // request waited for a slot or a connection.
    destination = locate(service, job.point);
    // With less than half of the mean work time left, the request would most likely time out with `Cumindale-Ran:
    // unknown`. Failing now reports with certainty that it did not run.
    const Millis minimumTime = server->pool.admission().meanWork(job.rule.priority) / 2;
    const bool tooLate = m_clock.now() + minimumTime >= job.deadline;
    if (destination.error != ErrorKind::None || destination.server != server || tooLate || job.presence.disconnected) {
        server->pool.release(job.rule.priority, Millis(0));
        server->pool.returnConnection(std::move(connection));
        co_return destination.error != ErrorKind::None ? destination.error
            : destination.server != server             ? ErrorKind::Moving
                                                       : ErrorKind::DeadlineBeforeSend;
    }
    ExchangeResult result = co_await dispatch(job, destination, time, *connection);
    const int64_t tookMicros = m_clock.monotonicMicros() - startedAt;
    server->pool.release(job.rule.priority, Millis((tookMicros + 999) / 1000));
    if (result.error != ErrorKind::None) {
        job.maybeRan = true;
        co_return result.error;
    }
    const bool wasBlocked = !server->pool.monitor().acceptsNewWork();
    server->pool.monitor().answered(m_clock.now());
    if (wasBlocked)
        m_routingChanged.notifyAll();
    server->pool.returnConnection(std::move(connection));
    recordLoad(job, tookMicros);
    if (result.response.result() == http::status::service_unavailable && result.response[ranHeader] == "no")
        co_return ErrorKind::ServerRefused;
    response = std::move(result.response);
    stripForCaller(response);
    response.set(ranHeader, toString(Ran::Yes));
    co_return ErrorKind::None;
}

asio::awaitable<ExchangeResult> Router::dispatch(
    Job& job, const Destination& destination, SendTime time, BackendConnection& connection)
{
    const Instant now = time.monotonic;
    // Moves wait for the work limit of the table, so a dispatch must not take longer.
    const Millis timeout = std::min<Millis>(job.deadline - now, destination.workLimit);
    const std::string requestId
        = formatPoint(job.trace.traceLow) + "-" + formatPoint(job.trace.span) + "-" + std::to_string(job.attempts);
    const TraceContext span { job.trace.traceHigh, job.trace.traceLow, randomNumber() };
    CallerRequest& request = job.request;
    request.set(requestIdHeader, requestId);
    request.set(fenceHeader, std::to_string(destination.fence));
    request.set(rangeHeader, formatPoint(destination.firstPoint) + "-" + formatPoint(destination.lastPoint));
    // Both the absolute deadline and the remaining time are sent: a request that was held in a socket buffer by a
    // network partition or a frozen server must not restart its time when it is finally read.
    request.set(deadlineHeader, std::to_string(time.unixMillis + timeout.count()));
    request.set(timeoutHeader, std::to_string(timeout.count()));
    request.set(traceHeader, formatTraceparent(span));
    request.set(hostHeader, m_options.host);
    request.erase(relayedHeader);
    request.keep_alive(true);
    request.prepare_payload();
    ++job.attempts;

    const ServerResource& server = destination.server->pool.server();
    const DispatchId id = m_inFlight.add(job.service->name, server.name, job.point, now + timeout);
    const int64_t sentAt = m_clock.monotonicMicros();
    if (job.rule.idempotent) {
        destination.server->abandonable.emplace(&connection, now);
        job.presence.onDisconnect = [&connection] { connection.cancelExchange(); };
    }
    ExchangeResult result = co_await connection.exchange(request, timeout);
    destination.server->abandonable.erase(&connection);
    job.presence.onDisconnect = nullptr;
    const int64_t tookMicros = m_clock.monotonicMicros() - sentAt;
    job.serverMicros += tookMicros;
    if (result.incomplete) {
        m_inFlight.connectionEnded(id);
        // The prober may have detected refused connections before this connection ended.
        if (destination.server->pool.monitor().reachability() == Reachability::Refused)
            m_inFlight.serverGone(server.name);
    } else
        m_inFlight.answered(id);
    // A response that echoes a different request id belongs to another request.
    const std::string_view echoedId = result.response[requestIdHeader];
    if (result.error == ErrorKind::None && !echoedId.empty() && echoedId != requestId)
        result.error = ErrorKind::BadAnswer;
    m_spans.add({ span, job.trace.span, "dispatch", server.name + " " + std::string(errorInfo(result.error).name),
        sentAt, tookMicros });
    co_return result;
}

const Member* Router::relayFor(const Job& job, const Destination& destination) const
{
    if (destination.error != ErrorKind::ServerUnreachable || job.relayed || !destination.server)
        return nullptr;
    const auto found = m_relays.find(destination.server->pool.server().name);
    if (found == m_relays.end() || found->second.empty())
        return nullptr;
    return &found->second[randomNumber() % found->second.size()];
}

// The other host dispatches by its own table and lease, so this host has no dispatch in flight. The response is
// passed on unchanged, including its `Cumindale-Ran` header.
asio::awaitable<ErrorKind> Router::relay(Job& job, Member peer, CallerResponse& response)
{
    auto& slot = m_peerPools[peer.name];
    if (!slot || slot->server().address != peer.address || slot->server().port != peer.callerPort) {
        ServerResource target;
        target.name = peer.name;
        target.address = peer.address;
        target.port = peer.callerPort;
        slot = std::make_shared<ServerPool>(m_executor, m_clock, target, m_options.monitor, m_responseMemory);
    }
    const auto pool = slot;
    auto connection = co_await pool->acquireConnection(job.rule.idempotent, connectTimeout);
    const Millis remaining = job.deadline - m_clock.now();
    if (!connection || remaining.count() <= 0) {
        co_await m_routingChanged.wait(unreachableRetryDelay);
        co_return ErrorKind::ServerUnreachable;
    }
    const TraceContext span { job.trace.traceHigh, job.trace.traceLow, randomNumber() };
    CallerRequest& request = job.request;
    request.set(relayedHeader, m_options.host);
    request.set(timeoutHeader, std::to_string(remaining.count()));
    request.set(traceHeader, formatTraceparent(span));
    request.keep_alive(true);
    request.prepare_payload();
    const int64_t sentAt = m_clock.monotonicMicros();
    ExchangeResult result = co_await connection->exchange(request, remaining);
    m_spans.add({ span, job.trace.span, "relay", peer.name, sentAt, m_clock.monotonicMicros() - sentAt });
    m_metrics.counter("requests_relayed").add();
    if (result.error != ErrorKind::None) {
        job.maybeRan = true;
        co_return result.error;
    }
    pool->returnConnection(std::move(connection));
    response = std::move(result.response);
    co_return ErrorKind::None;
}

void Router::recordLoad(const Job& job, int64_t micros)
{
    const auto found = m_routes.find(job.service->name);
    if (found == m_routes.end())
        return;
    ServiceRoute& route = *found->second;
    route.busyMicros[route.index.indexOf(job.point)] += static_cast<uint64_t>(micros);
    route.hotKeys.add(job.point, static_cast<uint64_t>(micros));
}

// --- Retry delays

Millis Router::retryAfter(ErrorKind kind, const Job& job) const
{
    const Destination destination = locate(job.service->name, job.point);
    switch (kind) {
    case ErrorKind::Overloaded:
    case ErrorKind::DeadlineBeforeSend:
        return withJitter(destination.server ? destination.server->pool.expectedWait(job.rule.priority) : Millis(200));
    case ErrorKind::Moving:
    case ErrorKind::ServerUnreachable:
        return withJitter(Millis(500));
    case ErrorKind::NotFresh:
        return withJitter(Millis(300));
    default:
        return withJitter(Millis(1000));
    }
}

// --- Reports

RoutingReport Router::makeReport() const
{
    RoutingReport report;
    report.resourcesRevision = m_resources->revision;
    for (const auto& [name, route] : m_routes) {
        report.adoptedTables[name] = route->table->version;
        if (!route->hasStoppingSlices)
            continue;
        for (auto& busy : m_inFlight.busy(*route->table))
            report.busy.push_back(std::move(busy));
    }
    for (const auto& [name, server] : m_servers)
        report.sights[name] = server->pool.monitor().reachability();
    return report;
}

void Router::reportNow()
{
    m_inFlight.removeExpired(m_clock.now());
    m_report(makeReport());
}

asio::awaitable<void> Router::reportLoop()
{
    for (;;) {
        const bool stopping = std::any_of(
            m_routes.begin(), m_routes.end(), [](const auto& entry) { return entry.second->hasStoppingSlices; });
        const Millis pause = stopping ? stoppingReportInterval : reportInterval;
        co_await sleepFor(pause);
        const Instant now = m_clock.now();
        m_inFlight.removeExpired(now);
        RoutingReport report = makeReport();
        if (now - m_lastLoadReport >= loadReportInterval) {
            for (auto& [name, route] : m_routes) {
                ServiceLoad load { route->table->version, {}, route->hotKeys.heaviest(maxReportedHotKeys),
                    now - m_lastLoadReport };
                for (size_t i = 0; i < route->busyMicros.size(); ++i) {
                    if (route->busyMicros[i])
                        load.busyMicros[i] = std::exchange(route->busyMicros[i], 0);
                }
                route->hotKeys.clear();
                report.loads[name] = std::move(load);
            }
            m_lastLoadReport = now;
        }
        m_report(std::move(report));
    }
}

}
