#include "gateway/Gateway.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "base/Random.h"
#include "decisions/ServerChoice.h"
#include "decisions/ServerIdentity.h"
#include "decisions/ServerNotice.h"
#include "gateway/ForwardHeaders.h"
#include "gateway/GatewayJob.h"
#include "routing/ErrorResponses.h"
#include "routing/RequestHeaders.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <charconv>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Sections: state, from control, requests, choice of the server, one attempt, responses, reports.

// --- State

namespace {

    constexpr Millis reportInterval { 250 };
    // A request that waits for a permit is reported at once, but not sooner after the last report than this: many
    // requests wait while a key is hot.
    constexpr Millis minEarlyReportInterval { 100 };
    // A request is overdue after this many times the usual duration: it was most likely lost in a full server. While
    // the server answers other requests, overdue ones don't count as being at the server.
    constexpr int overdueFactor = 4;
    // The retry budget is shared by all hosts: each uses the ratio for its own requests, and an even part of the slack.
    // Only three quarters of the slack are used, because the number of hosts changes and is known with a delay. The
    // ratio needs no such margin: what the hosts' requests allow adds up exactly.
    constexpr double slackFraction = 0.75;
    constexpr double ratioFraction = 0.95;
    constexpr Millis retryPause { 4 }; // minimum, with jitter of up to as much again
    // Subtracted from the time until a leaving server must get no new requests. A host learns of the shutdown with a
    // delay of up to 0.6 s (the coordinator's read of the store, and a message that is lost and repeated with the next
    // report), and the transfer and the wait for a connection take 0.3 s.
    constexpr Millis leaveMargin { 1'000 };
    // The same where the server itself told this host: covers only the transfer and the wait for a connection.
    constexpr Millis announcedLeaveMargin { 250 };
    // For a request's way to this host and the response's way back. Callers are about 8 ms away; a new connection takes
    // another round trip.
    constexpr Millis callerRoundTrip { 25 };
    // After a server refused a key, for the message about the key's move to arrive.
    constexpr Millis keyRefusalPause { 150 };
    constexpr Millis keyRefusalDuration { 300 }; // how long a server that refused a key is expected to refuse its keys
    constexpr unsigned misdirected = 421; // RFC 9110, section 15.5.20
    constexpr Millis defaultWork { 100 }; // assumed work of a keyed request, for the load of its key

    PriorityClass classOf(const HostRoute& route)
    {
        // A target latency of a second or less means that a person waits for the response.
        constexpr Millis patient { 1'000 };
        switch (route.retryPolicy) {
        case RetryPolicy::AtMostOnce:
            return PriorityClass::Submission;
        case RetryPolicy::Upload:
            return PriorityClass::Upload;
        case RetryPolicy::Idempotent:
        case RetryPolicy::Download:
            return route.target > patient ? PriorityClass::Background : PriorityClass::Interactive;
        }
        return PriorityClass::Background;
    }

    bool hasLargeBody(const CallerRequest& request)
    {
        constexpr size_t largeBody = 16'384;
        return request.body().size() > largeBody;
    }

    std::string_view lastServer(const GatewayJob& job) // empty: this host has sent the request to none
    {
        return job.tried.empty() ? std::string_view() : job.tried.back();
    }

    std::string joinedValues(const BackendResponse& answer, std::string_view name)
    {
        std::string joined;
        const auto [first, last] = answer.equal_range(name);
        for (auto field = first; field != last; ++field)
            joined.append(joined.empty() ? "" : ",").append(field->value());
        return joined;
    }

    uint64_t numberIn(std::string_view text, uint64_t otherwise)
    {
        uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        return error == std::errc() && end == text.data() + text.size() ? number : otherwise;
    }

}

Gateway::Gateway(asio::any_io_executor executor, const Clock& clock, const PlatformAdapter& adapter,
    GatewayOptions options, Metrics& metrics, ReportSink report, BoundsSink bounds)
    : m_executor(executor)
    , m_clock(clock)
    , m_adapter(adapter)
    , m_names(adapter.headers())
    , m_options(std::move(options))
    , m_metrics(metrics)
    , m_report(std::move(report))
    , m_boundsSink(std::move(bounds))
    , m_latency(metrics.distribution("request_total"))
    , m_added(metrics.distribution("request_added"))
    , m_answered(metrics.counter("requests_answered"))
    , m_retries(metrics.counter("requests_sent_again"))
    , m_forwardedServed(metrics.counter("requests_forwarded_here"))
    , m_crashes(
          executor, clock, metrics, { m_options.settings.fingerprintKey, m_options.connectTimeout },
          [this] { reportEarly(); }, [this](std::string server) { return confirmServerGone(std::move(server)); })
    , m_log(clock, metrics, m_crashes)
    , m_responseMemory(std::make_shared<ResponseMemory>(m_options.responseMemory))
    , m_servers(m_executor, clock, m_options.host, m_options.dataCentre, m_responseMemory,
          [this](const Upstream& server) { m_crashes.recordServerGone(server, "the server's entry was removed"); })
    , m_slots(m_executor, clock,
          { m_options.host, m_options.dataCentre, m_options.peers, m_options.settings.slotBrokers }, m_servers, metrics)
    , m_reach(m_executor, clock, m_servers, metrics, m_options.connectTimeout,
          [this](bool cutOff) { onReachChange(cutOff); })
    , m_forwarder(m_executor, clock, m_options.dataCentre, m_options.connectTimeout, m_responseMemory, metrics)
    , m_queries(m_executor, clock, m_forwarder, m_options.connectTimeout,
          [this](std::string_view server) { m_reach.recordAnswerElsewhere(server); })
    , m_changed(executor)
    , m_urgentReport(executor)
{
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    m_lastReport = m_clock.now();
    m_slots.start();
    m_reach.start();
    m_queries.start();
    spawnLoop(m_executor, "reports", reportLoop());
}

bool Gateway::ready() const { return m_rules && m_hasReadStore; }

// Requests that wait for a server are queued again, until the time up to which they may be sent.
void Gateway::stopBy(Instant end)
{
    m_shutdown.emplace(m_clock.now(), end);
    for (const auto& [id, server] : m_servers.inUse()) {
        server->pool.evictQueue();
        m_slots.evict(id);
    }
}

// --- From control

void Gateway::apply(GatewayUpdate update)
{
    const bool serversChanged = update.rules || !update.servers.empty() || update.allServers;
    if (update.rules) {
        m_rules = std::move(update.rules);
        m_boundsSink(m_rules->bounds);
        m_servers.setRules(m_rules);
    }
    m_hasReadStore = m_hasReadStore || update.hasReadStore;
    if (update.rulesValidity)
        m_rulesValidity = *update.rulesValidity;
    if (!update.servers.empty() || update.allServers) {
        m_servers.apply(update.servers, update.allServers);
        m_registeredRevision = update.serversAsOf;
    }
    if (update.crashes)
        m_crashes.apply(*update.crashes);
    if (update.coordinatorLost)
        m_reach.checkIfUnknown();
    if (update.newCoordinator) {
        m_crashes.repeatToNewCoordinator();
        for (const auto& [id, server] : m_servers.inUse())
            server->repeatLimitReport();
    }
    if (update.shares)
        applyShares(*update.shares);
    if (!update.crowded.empty())
        m_servers.setCrowded(update.crowded);
    for (auto& table : update.tables) {
        auto& held = m_tables[table->service];
        if (held && !(held->edition < table->edition))
            continue;
        const auto before = std::exchange(held, std::move(table));
        if (before)
            evictMoved(*before, *held);
    }
    if (serversChanged || !update.tables.empty())
        m_changed.notifyAll();
}

void Gateway::applyShares(const HostShares& shares)
{
    const Instant now = m_clock.now();
    m_lastSharesNumber = shares.number;
    m_hostCount.count(shares.hosts, now);
    if (m_hosts != shares.hosts) {
        m_hosts = shares.hosts;
        for (auto& [service, budget] : m_budgets)
            budget.setBurst(retryBurst());
        m_servers.setHosts(m_hosts);
    }
    m_slots.setBrokers(shares.brokers);
    if (shares.forwardTargets)
        m_forwarder.setTargets(*shares.forwardTargets);
    m_servers.applyShares(shares, m_hostCount.settled(now).value_or(0));
}

// Requests that wait for a server from which their key has moved away would only be refused there.
void Gateway::evictMoved(const GrantTable& before, const GrantTable& after)
{
    for (const auto& range : after.ranges) {
        const KeyRange* old = before.find(range.first);
        if (!old || (old->holder == range.holder && old->moving() == range.moving()))
            continue;
        const auto server = m_servers.inUse().find(old->holder);
        if (server == m_servers.inUse().end())
            continue;
        server->second->pool.evictQueue();
        m_slots.evict(old->holder);
    }
}

// --- Requests

RetryBudget& Gateway::budgetOf(const std::string& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    const RetryBudgetOptions options { ratioFraction * m_options.settings.retryRatio, retryBurst() };
    return m_budgets.emplace(service, RetryBudget(options)).first->second;
}

double Gateway::retryBurst() const
{
    // Minimal until a coordinator has reported the number of hosts.
    if (!m_hosts)
        return 1;
    return std::max(1.0, slackFraction * m_options.settings.retrySlack / static_cast<double>(m_hosts));
}

Millis Gateway::callerTimeout(const CallerHeader& header, const HostRoute& route) const
{
    const auto timeLeft = numberIn(header[m_names.timeLeft], 0);
    return timeLeft ? Millis(timeLeft) : route.timeout;
}

ErrorKind Gateway::prepare(Job& job)
{
    if (!m_rules)
        return ErrorKind::NotFresh;
    CallerRequest& request = job.request;
    job.rules = m_rules;
    job.route = m_rules->match(hostOf(request[http::field::host]), pathOf(request.target()));
    job.id = request[m_names.requestId];
    job.identity
        = hashOf(0, { job.callerAddress, request.method_string(), request[http::field::host], request.target() });
    if (!job.route)
        return confirmedError(ErrorKind::UnknownService, !job.forwardedBy.empty());
    // The route has moved to another service by a document that this host lacks.
    const bool hasMoved = !job.forwardedService.empty() && !job.route->hasService(job.forwardedService);
    if (hasMoved && job.forwardedRules > m_rules->revision)
        return ErrorKind::NotFresh;
    job.priority = classOf(*job.route);
    const Millis timeout = callerTimeout(request, *job.route);
    job.callerDeadline = job.arrived + timeout;
    job.deadline = std::min(job.callerDeadline - callerRoundTrip, job.arrived + job.route->timeout);
    // A caller that retries sends less remaining time than in its first attempt. The target is earlier by the
    // difference to the longest time seen on this route.
    Millis& longest = m_longestCallerTimeout[job.route->name];
    longest = std::max(longest, timeout);
    job.target = job.arrived + job.route->target - (longest - timeout) - callerRoundTrip;
    job.service = job.route->hasService(job.forwardedService) ? job.forwardedService : m_splits.next(*job.route);
    const RoutedService* service = m_rules->service(job.service);
    job.keyed = service && service->keyed;
    // A request without a key may run on any server, so it gets a random key.
    job.key = static_cast<uint32_t>(numberIn(request[m_names.key], randomNumber()) % keySpaceSize);
    stripForServer(request);
    // The host that the caller asked has counted a forwarded request.
    if (!job.forwardedBy.empty())
        return ErrorKind::None;
    budgetOf(job.service).deposit();
    if (job.keyed)
        m_keyUse[job.service][job.key] += static_cast<uint64_t>(defaultWork.count()) * 1000;
    return ErrorKind::None;
}

asio::awaitable<CallerResponse> Gateway::handle(CallerRequest& request, CallerConnection& presence)
{
    Job job { request, presence, m_crashes.fingerprintsOf(request) };
    job.callerAddress = presence.address;
    co_return co_await serve(job);
}

asio::awaitable<CallerResponse> Gateway::serve(Job& job)
{
    job.arrived = m_clock.now();
    job.arrivedMicros = m_clock.monotonicMicros();
    const ErrorKind fault = prepare(job);
    if (fault != ErrorKind::None)
        co_return refuse(job, fault);
    if (m_crashes.isQuarantined(job.fingerprints))
        co_return refuse(job, ErrorKind::Quarantined);
    CallerResponse response = co_await run(job);
    const int64_t total = m_clock.monotonicMicros() - job.arrivedMicros;
    m_latency.add(static_cast<double>(total));
    m_added.add(static_cast<double>(total - job.serverMicros));
    co_return response;
}

asio::awaitable<CallerResponse> Gateway::run(Job& job)
{
    for (;;) {
        CallerResponse response;
        const ErrorKind error = co_await tryOnce(job, response);
        if (error == ErrorKind::None) {
            m_answered.add();
            if (m_clock.now() > job.target)
                logRequest(job, "answered-late", error, lastServer(job));
            co_return response;
        }
        if (job.presence.disconnected || !mayRetry(job, error))
            co_return refuse(job, error);
        if (job.sends)
            co_await sleepFor(withJitter(retryPause)); // spread the retries of requests that failed together
    }
}

bool Gateway::mayRetry(Job& job, ErrorKind error)
{
    if (job.forwardedRefusal)
        return false;
    const ErrorInfo& answer = errorInfo(error);
    const Instant now = m_clock.now();
    if (!answer.retryable || now >= job.deadline)
        return false;
    if (job.maybeRan && !job.route->idempotent())
        return false;
    // This request may have crashed its last server: don't risk another one.
    if (job.sends && m_crashes.isSuspect(job.fingerprints))
        return false;
    // Only requests that were sent to a server spend the retry budget, not waits for a key's owner or a connection.
    if (error == ErrorKind::OwnerChanged)
        return true;
    if (error == ErrorKind::Moving || error == ErrorKind::NoOwner || error == ErrorKind::WarmingUp)
        return !job.waited;
    if (error == ErrorKind::ServerUnreachable)
        return !m_reach.cutOff() && !job.keyed && job.tried.size() < m_servers.countOf(job.service);
    if (job.sends >= job.route->maxAttempts || !budgetOf(job.service).tryWithdraw())
        return false;
    m_retries.add();
    logRequest(job, "request-retried", error, lastServer(job));
    return true;
}

// --- Choice of the server

Gateway::Located Gateway::locate(const Job& job) { return job.keyed ? locateKey(job) : chooseByLoad(job); }

Gateway::Located Gateway::locateKey(const Job& job)
{
    const auto table = m_tables.find(job.service);
    const KeyRange* range = table == m_tables.end() ? nullptr : table->second->find(job.key);
    if (!range)
        return { ErrorKind::NoOwner, nullptr, true };
    const HolderState state = range->holderState;
    if (range->moving() && state != HolderState::Unreachable)
        return { ErrorKind::Moving, nullptr, state == HolderState::Releasing };
    const auto upstream = m_servers.upstream(range->holder);
    if (!upstream || upstream->replaced)
        return { ErrorKind::NoOwner, nullptr, false };
    // The keys of a leaving or evacuated server are about to move. If that takes too long, the server must get no new
    // requests after its time limit.
    const Instant now = m_clock.now();
    const auto overdue = [&](Instant since, Millis within) { return now - since > within - leaveMargin; };
    const bool leaving
        = upstream->entry.leaving && overdue(upstream->entry.leavingSince, m_options.settings.leaveTimeout);
    const bool announced = upstream->announcedLeaving()
        && now - upstream->announcedLeavingSince() > m_options.settings.leaveTimeout - announcedLeaveMargin;
    const bool evacuated
        = upstream->entry.evacuated && overdue(upstream->entry.evacuatedSince, m_options.settings.evacuationTimeout);
    if (leaving || announced || evacuated)
        return { ErrorKind::NoOwner, nullptr, false };
    if (range->moving() && now < upstream->refusesKeysUntil)
        return { ErrorKind::Moving, nullptr, false };
    if (upstream->backingOff(now))
        return { ErrorKind::ServerResting, nullptr, false, upstream->backoffEnd() };
    if (upstream->isLocallyLimited(now))
        return { ErrorKind::ServerAtLimit, nullptr, false, upstream->nextLocalSend(now) };
    // The keys of a server that is warming up move to a warm one, if there is any.
    if (!maySendTo(*upstream, now))
        return { ErrorKind::WarmingUp, nullptr, m_servers.anyWarm(job.service, now), upstream->warmupEnd() };
    return { ErrorKind::None, upstream };
}

Gateway::Located Gateway::chooseByLoad(const Job& job)
{
    const auto servers = m_servers.candidates(job.service, randomNumber());
    if (servers.empty())
        return { ErrorKind::NoOwner, nullptr, false };
    const Instant now = m_clock.now();
    std::vector<ServerCandidate> candidates;
    candidates.reserve(servers.size());
    for (const auto& server : servers) {
        const auto& admission = server->pool.admission();
        ServerCandidate candidate;
        candidate.usable = !server->isUnready(now)
            && std::find(job.tried.begin(), job.tried.end(), server->entry.id) == job.tried.end();
        candidate.resting = server->failing(now) || server->entry.unconfirmed || m_reach.reachedThroughOthers(*server);
        candidate.sameDataCentre = server->entry.dataCentre == m_options.dataCentre;
        candidate.busy = admission.inFlight();
        candidate.waiting = static_cast<unsigned>(admission.queued());
        candidate.limit = admission.limit();
        candidate.workMillis = static_cast<double>(admission.meanWork(job.priority).count());
        candidate.connected = server->pool.hasConnection(now);
        // Prefer a server with a rate limit: an unused permit expires, and only a response shows the end of the limit.
        if (server->rateLimit())
            candidate.workMillis = 0;
        candidates.push_back(candidate);
    }
    // Traffic between data centres costs more than a short wait: a large body stays in its data centre unless all
    // servers there are full.
    constexpr double farForLarge = 3;
    constexpr double farForSmall = 1.4;
    const auto best = chooseServer(candidates, randomNumber(), hasLargeBody(job.request) ? farForLarge : farForSmall);
    if (!best)
        return chooseFallback(job, servers);
    return { ErrorKind::None, servers[*best] };
}

Gateway::Located Gateway::chooseFallback(const Job& job, std::span<const std::shared_ptr<Upstream>> servers)
{
    const Instant now = m_clock.now();
    Located located { ErrorKind::NoOwner, nullptr, false };
    const size_t start = randomNumber() % servers.size();
    for (size_t i = 0; i < servers.size(); ++i) {
        const auto& server = servers[(start + i) % servers.size()];
        const bool tried = std::find(job.tried.begin(), job.tried.end(), server->entry.id) != job.tried.end();
        if (server->outOfUse() || tried)
            continue;
        const auto [error, readyAt] = unreadyReason(*server, now);
        if (error == ErrorKind::None)
            return { ErrorKind::None, server };
        if (located.error != ErrorKind::NoOwner && readyAt >= located.readyAt)
            continue;
        located.error = error;
        located.readyAt = readyAt;
    }
    return located;
}

std::pair<ErrorKind, Instant> Gateway::unreadyReason(const Upstream& server, Instant now) const
{
    if (server.backingOff(now))
        return { ErrorKind::ServerResting, server.backoffEnd() };
    if (server.isLocallyLimited(now))
        return { ErrorKind::ServerAtLimit, server.nextLocalSend(now) };
    if (!maySendTo(server, now))
        return { ErrorKind::WarmingUp, server.warmupEnd() };
    return { ErrorKind::None, now };
}

bool Gateway::maySendTo(const Upstream& server, Instant now) const
{
    if (server.isLocallyLimited(now))
        return false;
    if (!server.warmingUp(now))
        return true;
    const auto hosts = m_hostCount.settled(now);
    return hosts && server.warmUpPauseOver(now)
        && maySendDuringWarmUp(m_options.host, server.entry.id, *hosts, server.warmUp());
}

// --- One attempt

// Waits in this host's own queue for the server.
asio::awaitable<ErrorKind> Gateway::takeOwnSlot(Job& job, Upstream& server)
{
    job.slotGranted = false;
    const Instant asked = m_clock.now();
    server.accumulateUse(asked);
    server.applyLimit(asked);
    job.share = server.pool.admission().limit();
    job.crowded = server.needsPermit(asked);
    if (job.crowded && (server.crowded(asked) || !server.hasPermit()))
        reportEarly();
    const SlotRequest request = slotRequestOf(job);
    const auto admitted = co_await server.pool.admit(request);
    if (admitted == ServerPool::AdmitResult::Evicted)
        co_return ErrorKind::OwnerChanged;
    if (admitted != ServerPool::AdmitResult::Admitted && job.crowded && server.rateLimit()) {
        job.readyAt = server.nextPermit(m_clock.now());
        co_return ErrorKind::ServerAtLimit;
    }
    if (admitted == ServerPool::AdmitResult::Refused)
        co_return ErrorKind::Overloaded;
    if (admitted == ServerPool::AdmitResult::TimedOut)
        co_return ErrorKind::DeadlineBeforeSend;
    co_return ErrorKind::None;
}

// As takeOwnSlot(), and the brokers of the pool are told of the slot.
asio::awaitable<ErrorKind> Gateway::takeCountedSlot(Job& job, Upstream& server, std::string pool)
{
    const ErrorKind refused = co_await takeOwnSlot(job, server);
    if (refused == ErrorKind::None)
        job.slot = m_slots.useWithoutGrant(pool, server.entry.id, job.deadline);
    co_return refused;
}

// Waits in the queue of the server's broker. Without keys, the broker may name another server of the service.
asio::awaitable<ErrorKind> Gateway::takeGrantedSlot(Job& job, std::shared_ptr<Upstream>& server)
{
    using Kind = SlotExchange::Result::Kind;
    const std::string pool = m_slots.poolOf(*server, job.keyed);
    // The broker knows callers that return, so the target counts from the arrival here. Callers' timeouts differ from
    // the start, so a short one doesn't show that a caller returns.
    job.target = job.arrived + job.route->target - callerRoundTrip;
    // A large body stays with the server that this host has chosen near by, and its slot is only counted.
    if (!job.keyed && hasLargeBody(job.request))
        co_return co_await takeCountedSlot(job, *server, pool);
    std::vector<std::string> excluded;
    if (!job.keyed) {
        excluded = job.tried;
        excluded.insert(excluded.end(), job.unusable.begin(), job.unusable.end());
    }
    // The broker sees the servers from another host. This host goes on by what it sees itself.
    constexpr size_t maxUnusable = 3;
    if (job.unusable.size() >= maxUnusable)
        co_return co_await takeCountedSlot(job, *server, pool);
    SlotRequest request = slotRequestOf(job);
    request.identity = job.identity;
    std::string preferred;
    if (server->pool.hasConnection(m_clock.now()))
        preferred = server->entry.id;
    const auto slot = co_await m_slots.acquire(pool, request, std::move(preferred), std::move(excluded));
    switch (slot.kind) {
    case Kind::NoBroker:
        co_return co_await takeCountedSlot(job, *server, pool);
    case Kind::Refused:
        job.slotWait = slot.wait;
        co_return ErrorKind::Overloaded;
    case Kind::Evicted:
        co_return ErrorKind::OwnerChanged;
    case Kind::Granted:
        break;
    }
    job.slot = slot.ticket;
    const Instant now = m_clock.now();
    const auto named = m_servers.upstream(slot.server);
    if (!named || !mayUseGranted(job, *server, *named, now)) {
        m_slots.release(std::exchange(job.slot, 0), Millis(0), false);
        job.unusable.push_back(slot.server);
        co_return ErrorKind::OwnerChanged;
    }
    server = named;
    server->accumulateUse(now);
    server->pool.admitGranted();
    job.slotGranted = true;
    job.share = server->entry.slots;
    job.crowded = false;
    co_return ErrorKind::None;
}

// The broker may know servers by older entries than this host, and a late reply may have been meant for another
// request.
bool Gateway::mayUseGranted(const Job& job, const Upstream& chosen, const Upstream& named, Instant now) const
{
    if (job.keyed)
        return named.entry.id == chosen.entry.id;
    const bool isChosen = named.entry.id == chosen.entry.id; // also if it fails: there may be no better one
    return named.entry.service == job.service && !named.rateLimit() && !named.isUnready(now)
        && (isChosen || !named.failing(now));
}

SlotRequest Gateway::slotRequestOf(const Job& job) const
{
    const Instant deadline = m_shutdown ? m_shutdown->latestSend(job.deadline) : job.deadline;
    return { 0, job.priority, job.route->priority, job.arrived, job.target, deadline };
}

void Gateway::releaseSlot(Job& job, Upstream& server, Millis took, bool refused)
{
    server.accumulateUse(m_clock.now());
    server.pool.release(job.priority, took);
    m_slots.release(std::exchange(job.slot, 0), took, refused);
}

asio::awaitable<ErrorKind> Gateway::tryOnce(Job& job, CallerResponse& response)
{
    if (!maySend(m_clock.now(), job.deadline))
        co_return ErrorKind::ShuttingDown;
    Located at = locate(job);
    if (at.error != ErrorKind::None) {
        job.readyAt = at.readyAt;
        const Instant until = std::min({ job.deadline, job.arrived + m_options.moveWait, at.readyAt });
        const Instant now = m_clock.now();
        // If the error will last longer than a move, refuse at once: waiting would only use up the caller's time.
        job.waited = !at.worthWaiting || now >= until;
        if (!job.waited)
            co_await m_changed.wait(until - now);
        co_return at.error;
    }
    std::shared_ptr<Upstream> server = at.server;
    // This host has heard of no new owner, and the server would refuse the key again. Another host may know more.
    if (job.keyed && job.refusedBy == server->entry.id) {
        job.waited = true;
        co_return ErrorKind::Moving;
    }
    const Instant asked = m_clock.now();
    if (!maySend(asked, job.deadline, server->pool.admission().meanWork(job.priority)))
        co_return ErrorKind::ShuttingDown;
    if (mustForward(job, *server))
        co_return co_await forward(job, *server, response);
    ErrorKind refused = ErrorKind::None;
    if (m_slots.appliesTo(*server, *job.rules, m_hosts, asked))
        refused = co_await takeGrantedSlot(job, server);
    else
        refused = co_await takeOwnSlot(job, *server);
    if (refused != ErrorKind::None)
        co_return refused;
    const auto giveUp = [&] { releaseSlot(job, *server, Millis(0), false); };
    if (mustForward(job, *server)) { // the path was lost during the wait
        giveUp();
        co_return co_await forward(job, *server, response);
    }
    auto connection
        = co_await server->pool.acquireConnection(job.route->idempotent(), m_options.connectTimeout, job.id);
    const bool newConnection = !connection || connection->lastResponseAt == Instant {};
    if (newConnection)
        m_reach.recordConnect(*server, connection != nullptr);
    if (!connection) {
        giveUp();
        const bool cutOff = m_reach.cutOff() || co_await m_reach.confirmCutOff();
        if (!cutOff) {
            server->recordFailure(m_clock.now());
            server->connectFailed();
        }
        if (mustForward(job, *server))
            co_return co_await forward(job, *server, response);
        if (startTrial(job, *server))
            co_return co_await forwardTrial(job, *server, response);
        job.tried.push_back(server->entry.id);
        logRequest(job, "server-unreachable", ErrorKind::ServerUnreachable, server->entry.id);
        co_return ErrorKind::ServerUnreachable;
    }
    // During the wait for a slot or a connection the table or the server may have changed, or the caller may have gone.
    const Instant connectedAt = m_clock.now();
    const bool closed
        = server->outOfUse() || server->backingOff(connectedAt) || !m_servers.isRegistered(server->entry.id);
    const bool moved = job.keyed ? locate(job).server != server : closed;
    const Millis usual = server->pool.admission().meanWork(job.priority);
    const bool late = connectedAt + usual / 2 >= job.deadline || !maySend(connectedAt, job.deadline, usual);
    // Keyed services need no check: a restarted server holds no keys, and refuses requests for them until its entry is
    // known.
    const bool restarted = !job.keyed && !server->recordConnected(connectedAt);
    // The server has announced a rate limit since this request was admitted without a permit.
    const bool needsPermit = !job.crowded && server->rateLimit() && server->needsPermit(connectedAt);
    const bool mustWait = restarted || needsPermit || !maySendTo(*server, connectedAt);
    if (moved || mustWait || late || job.presence.disconnected) {
        giveUp();
        server->pool.returnConnection(std::move(connection));
        if (job.slotGranted && !job.keyed && (moved || mustWait))
            job.unusable.push_back(server->entry.id); // or the broker could name it again and again
        co_return moved || mustWait ? ErrorKind::OwnerChanged : ErrorKind::DeadlineBeforeSend;
    }
    if (server->warmingUp(connectedAt))
        server->recordWarmUpSend(connectedAt);
    server->recordLocalSend(connectedAt);
    co_return co_await exchange(job, *server, std::move(connection), response);
}

asio::awaitable<ErrorKind> Gateway::exchange(
    Job& job, Upstream& target, ConnectionPointer connection, CallerResponse& response)
{
    const std::shared_ptr<Upstream> held = m_servers.upstream(target.entry.id);
    if (!held) {
        releaseSlot(job, target, Millis(0), false);
        co_return ErrorKind::NoOwner;
    }
    const std::string id = target.entry.id;
    const Instant sentAt = m_clock.now();
    const Millis timeout = job.deadline - sentAt;
    CallerRequest& request = job.request;
    if (!job.forwardedTo.empty())
        takeForwardHeaders(request);
    request.set(m_names.targetServer, serverNameOf(id));
    request.set(m_names.timeLeft, std::to_string(timeout.count()));
    request.keep_alive(true);
    request.prepare_payload();
    ++job.sends;
    job.tried.push_back(id);
    held->lastUsed = sentAt;
    if (job.route->idempotent())
        job.presence.onDisconnect = [&connection] { connection->cancelExchange(); };
    const Millis usual = held->pool.admission().meanWork(job.priority);
    const auto overdue = held->overdueTimes.insert(sentAt + usual * overdueFactor);
    if (job.route->idempotent())
        m_idempotentExchanges.insert(connection.get());
    job.connection = connection->localPort();
    job.connectionUse = connection->exchanges() + 1;
    ExchangeResult result = co_await connection->exchange(request, timeout, m_names.requestId);
    m_log.recordFaults(job, id, result);
    m_idempotentExchanges.erase(connection.get());
    held->overdueTimes.erase(overdue);
    job.presence.onDisconnect = nullptr;
    const Instant endedAt = m_clock.now();
    const Millis took = std::max(Millis(1), endedAt - sentAt);
    job.serverMicros += took.count() * 1000;
    const ErrorKind error = classify(job, result);
    const bool worked = error == ErrorKind::None;
    releaseSlot(job, *held, worked ? took : Millis(0), error == ErrorKind::ServerRefused);
    if (held->crowded(endedAt))
        reportEarly();
    if (!result.incomplete)
        m_reach.recordAnswer(*held);
    if (worked) {
        held->recordSuccess();
        held->recordWork(took);
    } else if (!job.presence.disconnected && !m_reach.cutOff()) {
        // Refusals by a full server count as failures, too. Such a server answers at once and has no measured work, so
        // it would look like the fastest one and be chosen again and again, especially while servers are replaced.
        held->recordFailure(endedAt);
    }
    if (result.error == ErrorKind::None && !answeredByAnother(result, id))
        applyNotice(job, *held, result.response);
    if (error == ErrorKind::ServerRefused && answeredByAnother(result, id)) {
        held->replaced = true;
        logRequest(job, "server-replaced", error, id);
        m_crashes.recordServerGone(*held, "another server answers at its address");
    }
    if (!result.incomplete)
        held->pool.returnConnection(std::move(connection));
    if (error == ErrorKind::ServerRefused && result.response.result_int() == misdirected)
        held->refusesKeysUntil = endedAt + keyRefusalDuration;
    if (worked) {
        if (m_crashes.isSuspect(job.fingerprints))
            logRequest(job, "suspect-answered", error, id);
        m_crashes.recordAnswered(job.fingerprints, endedAt);
    } else {
        recordLostResponse(job, held, error);
        if (errorInfo(error).ran != Ran::No) {
            job.maybeRan = true;
            job.uncertainError = error;
        }
        logRequest(job, "send-failed", error, id);
        // Either the key has moved or is moving to another server, or this server was full. If retried at once, the
        // server would refuse again, and each retry spends the budget that all hosts share. A server with a free slot
        // that refuses single requests may well take the next one.
        if (error == ErrorKind::ServerRefused && job.keyed && held->backingOff(endedAt)) {
            job.readyAt = held->backoffEnd();
            co_return ErrorKind::ServerResting;
        }
        if (result.response.result_int() == misdirected) {
            if (job.slotGranted)
                job.refusedBy = id;
            job.slotGranted = false; // refused for the key, not for want of a slot
        }
        if (error == ErrorKind::ServerRefused && job.keyed && !held->replaced && !job.slotGranted)
            co_await m_changed.wait(std::min(keyRefusalPause, std::max(Millis(1), job.deadline - endedAt)));
        co_return error;
    }
    response = std::move(result.response);
    stripForCaller(response);
    constexpr unsigned firstFailure = 500;
    // The server failed to run an idempotent request: another server may succeed.
    if (response.result_int() >= firstFailure && job.route->idempotent() && job.sends < job.route->maxAttempts) {
        held->recordFailure(endedAt);
        job.maybeRan = true;
        job.uncertainError = ErrorKind::BadAnswer;
        job.failure = std::move(response);
        co_return ErrorKind::ServerFailed;
    }
    co_return ErrorKind::None;
}

void Gateway::recordLostResponse(const Job& job, const std::shared_ptr<Upstream>& server, ErrorKind error)
{
    // This host cancels an idempotent request when its caller disconnects, which says nothing about the server.
    const bool endedHere = job.presence.disconnected && job.route->idempotent();
    if (!endedHere)
        m_crashes.recordLostResponse(job.fingerprints, server, error);
}

void Gateway::applyNotice(const Job& job, Upstream& server, const BackendResponse& answer)
{
    const std::string limit = joinedValues(answer, m_names.limit);
    const ServerNotice notice
        = parseServerNotice(answer.result_int(), answer[m_names.leaving], answer[http::field::retry_after], limit);
    const Instant now = m_clock.now();
    const std::string& id = server.entry.id;
    if (notice.leaving && !server.announcedLeaving()) {
        server.setAnnouncedLeaving(now);
        m_metrics.counter("servers_saying_they_leave").add();
        logChange(LogLevel::Info, "server-announced-shutdown", { { "server", id }, { "request", job.id } });
        if (!server.entry.leaving)
            reportEarly();
    }
    if (notice.retryAfter > Millis(0)) {
        const bool known = server.backingOff(now);
        server.backOffUntil(now + notice.retryAfter);
        m_metrics.counter("server_rests").add();
        if (!known && m_log.mayLog(ErrorKind::ServerResting))
            logChange(LogLevel::Info, "server-requested-backoff",
                { { "server", id }, { "request", job.id }, { "restMs", notice.retryAfter.count() } });
    }
    if (notice.malformed && !std::exchange(server.malformedNoticeLogged, true))
        logChange(LogLevel::Warning, "server-notice-malformed",
            { { "server", id }, { "request", job.id }, { "leaving", answer[m_names.leaving] },
                { "retryAfter", answer[http::field::retry_after] }, { "limit", limit } });
    if (!notice.limitUnreadable)
        applyAnnouncedLimit(job, server, notice.limit);
}

void Gateway::applyAnnouncedLimit(const Job& job, Upstream& server, std::optional<PerSecond> limit)
{
    server.setLimitFromServer(limit, m_clock.now());
    if (limit)
        m_metrics.counter("server_limits_named").add();
    const auto before = std::exchange(server.loggedLimit, limit);
    if (before.has_value() != limit.has_value())
        reportEarly();
    if (before == limit || !m_log.mayLog(ErrorKind::ServerAtLimit))
        return;
    const std::string& id = server.entry.id;
    if (limit)
        logChange(LogLevel::Info, "server-announced-limit",
            { { "server", id }, { "request", job.id }, { "perSecond", *limit } });
    else
        logChange(LogLevel::Info, "server-limit-ended", { { "server", id }, { "request", job.id } });
}

bool Gateway::answeredByAnother(const ExchangeResult& result, std::string_view server) const
{
    const std::string_view from = result.response[m_names.server];
    return !from.empty() && from != serverNameOf(server);
}

ErrorKind Gateway::classify(const Job& job, const ExchangeResult& result) const
{
    if (result.error != ErrorKind::None)
        return result.error;
    const BackendResponse& answer = result.response;
    const unsigned status = answer.result_int();
    if (status == misdirected || answer.count(m_names.notExecuted))
        return ErrorKind::ServerRefused;
    // Forwarded, these statuses would tell the caller that the request did not run, which the server hasn't stated.
    if (status == 503 || status == 429 || status == 408)
        return ErrorKind::BadAnswer;
    if (answeredByAnother(result, job.tried.back()))
        return ErrorKind::BadAnswer;
    const bool success = status >= 200 && status < 300;
    const bool sealed = answer.count(m_names.signature) && !answer.count(http::field::content_encoding);
    return success && !sealed ? ErrorKind::BadAnswer : ErrorKind::None;
}

// --- Responses

CallerResponse Gateway::refuse(Job& job, ErrorKind error)
{
    if (job.failure)
        return *job.failure;
    // The response must hold for all attempts. If the last one certainly did not run but an earlier one may have, 503
    // would wrongly promise that the request did not run.
    const ErrorKind answered = job.maybeRan && errorInfo(error).ran == Ran::No ? job.uncertainError : error;
    job.refused = answered;
    logRequest(job, "request-refused", answered, lastServer(job));
    if (job.forwardedRefusal && answered == error)
        return *job.forwardedRefusal;
    return ErrorResponses(m_metrics, RetryAfterFormat::FractionalSeconds)
        .make(answered, retryAfter(job, error), job.maybeRan);
}

Millis Gateway::retryAfter(const Job& job, ErrorKind error)
{
    constexpr Millis minRetryAfter { 100 };
    switch (error) {
    case ErrorKind::Overloaded:
    case ErrorKind::DeadlineBeforeSend: {
        if (job.slotWait)
            return std::max(minRetryAfter, *job.slotWait);
        const Located at = locate(job);
        return withJitter(
            std::max(minRetryAfter, at.server ? at.server->pool.expectedWait(job.priority) : minRetryAfter));
    }
    case ErrorKind::Moving:
    case ErrorKind::ShuttingDown: // another host serves the caller at once
        return withJitter(minRetryAfter);
    case ErrorKind::ServerRefused: {
        // The server had a free slot and refuses single requests: nothing is gained by a later return.
        constexpr Millis soon { 20 };
        return withJitter(job.slotGranted ? soon : m_options.moveWait);
    }
    case ErrorKind::WarmingUp:
    case ErrorKind::ServerResting:
    case ErrorKind::ServerAtLimit: {
        // Callers should return when the server is ready, but not all at that moment.
        constexpr Millis jitter { 500 };
        if (job.readyAt == Instant::max())
            return withJitter(m_options.moveWait);
        const Millis remaining = job.readyAt - m_clock.now();
        return std::max(minRetryAfter, remaining) + randomUpTo(jitter);
    }
    default:
        return withJitter(m_options.moveWait);
    }
}

void Gateway::logRequest(const Job& job, std::string_view event, ErrorKind error, std::string_view server)
{
    if (!m_log.mayLog(error))
        return;
    const auto table = m_tables.find(job.service);
    const uint64_t edition = table == m_tables.end() ? 0 : table->second->edition.edition;
    m_log.write(event, job, error, server, { m_registeredRevision, edition, rulesAgeMillis() });
}

// --- Reports

GatewayReport Gateway::makeReport()
{
    const Instant now = m_clock.now();
    GatewayReport report;
    m_metrics.counter("rules_version").set(m_rules ? static_cast<uint64_t>(m_rules->version) : 0);
    m_metrics.counter("rules_age_ms").set(static_cast<uint64_t>(std::max<int64_t>(0, rulesAgeMillis())));
    report.period = now - std::exchange(m_lastReport, now);
    report.lastSharesNumber = m_lastSharesNumber;
    report.urgent = std::exchange(m_reportIsUrgent, false);
    report.exchangesSlots = m_slots.isOpen();
    report.cutOff = m_reach.cutOff();
    m_crashes.addTo(report, now);
    for (auto& [service, uses] : m_keyUse) {
        auto& keys = report.keys[service];
        for (const auto& [key, micros] : uses)
            keys.push_back({ key, micros });
    }
    m_keyUse.clear();
    m_servers.dropUnused(now);
    for (const auto& [id, server] : m_servers.inUse()) {
        if (server->announcedLeaving() && !server->entry.leaving)
            report.leaving.push_back(id);
        if (const auto observation = server->limitToReport(now))
            report.rates.push_back({ id, observation->limit, observation->at });
        if (auto use = server->takeUse(now, report.period)) {
            // These wait for the network, not for the server.
            if (report.cutOff)
                use->present -= std::exchange(use->overdue, 0);
            report.servers.emplace(id, *use);
        }
        server->dropPermits(now);
        server->applyLimit(now);
    }
    return report;
}

// Called when a request waits for a permit, when a crowded server has room for another host, and for news that can't
// wait for the next report.
void Gateway::reportEarly()
{
    m_reportIsUrgent = true;
    m_urgentReport.notifyAll();
}

asio::awaitable<void> Gateway::reportLoop()
{
    for (;;) {
        if (!m_reportIsUrgent)
            co_await m_urgentReport.wait(reportInterval);
        const Millis since = m_clock.now() - m_lastReport;
        if (since < minEarlyReportInterval)
            co_await sleepFor(minEarlyReportInterval - since);
        m_report(makeReport());
    }
}

}
