#include "gateway/Gateway.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "base/Random.h"
#include "decisions/ServerChoice.h"
#include "decisions/ServerIdentity.h"
#include "decisions/ServerNotice.h"
#include "resources/QuarantineCodec.h"
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

// Sections: state, from control, requests, where to, one try, answers, reports.

// --- State

namespace {

    constexpr Millis reportEvery { 250 };
    // A request that waits for a permit is told at once, but for this time since the last report: many wait while a key
    // is hot.
    constexpr Millis shortestReport { 100 };
    // A request without an answer for so many times the usual work has most likely met a full server that hangs. While
    // the server answers others, it no longer counts as being there.
    constexpr int overdueAfter = 4;
    // The budget of second sends is shared by all hosts; each spends its own requests' part of the ratio and an even
    // part of the slack. Three quarters of it: hosts come and go, and how many there are is known late.
    constexpr double budgetUsed = 0.75;
    constexpr Millis retryPause { 4 }; // at least, and up to as much again
    // For what is left of the time until a leaving server must get nothing new: a host learns of it up to 0.6 s late (a
    // look of the coordinator at the store, a message lost and repeated with the next report), and the way and the wait
    // for a connection take 0.3 s.
    constexpr Millis leaveMargin { 1'000 };
    // The same, where the server itself told this host: the way and the wait for a connection only.
    constexpr Millis toldMargin { 250 };
    // Of a request to this host and of its answer back. Callers are about 8 ms away; a new connection takes another
    // turn.
    constexpr Millis answerWay { 25 };
    constexpr Millis notHeldPause { 150 }; // for the news of a key's move to come
    constexpr Millis refusesAgainFor { 300 }; // a server that was asked for a key which it doesn't hold
    constexpr unsigned misdirected = 421; // RFC 9110, section 15.5.20
    constexpr Millis firstWork { 100 }; // guess for a route's work until one has ended

    PriorityClass classOf(const HostRoute& route)
    {
        // An answer that is of full use only within a second or less is waited for by somebody.
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

    // The request was sent and got no answer.
    bool mayHaveCrashedServer(ErrorKind error)
    {
        return error == ErrorKind::ConnectionLost || error == ErrorKind::DeadlineAfterSend;
    }

    std::string joinedValues(const BackendResponse& answer, std::string_view name)
    {
        std::string joined;
        const auto [first, last] = answer.equal_range(name);
        for (auto field = first; field != last; ++field)
            joined.append(joined.empty() ? "" : ",").append(field->value());
        return joined;
    }

    std::string_view hostOf(std::string_view header) { return header.substr(0, header.find(':')); }

    uint64_t numberIn(std::string_view text, uint64_t otherwise)
    {
        uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        return error == std::errc() && end == text.data() + text.size() ? number : otherwise;
    }

}

struct Gateway::Job {
    CallerRequest& request;
    CallerPresence& presence;
    std::shared_ptr<const RouteRules> rules; // keeps `route` alive
    const HostRoute* route = nullptr;
    std::string service;
    bool keyed = false;
    uint32_t key = 0;
    PriorityClass priority = PriorityClass::Background;
    std::string id; // as the caller gave it
    Instant arrived {};
    Instant target {}; // an answer by then is of full use; counted from the caller's first try
    Instant callerDeadline {};
    Instant deadline {}; // the caller's or the route's, whichever is first
    bool waited = false; // for an owner, as long as is worth it
    Instant readyAt = Instant::max(); // of the server that takes no requests now, and that it was refused for
    int64_t arrivedMicros = 0;
    int64_t serverMicros = 0; // time spent in exchanges
    unsigned sends = 0;
    unsigned share = 0; // of the last server's slots, as this host had it
    bool crowded = false; // the last server got nothing without a permit
    bool maybeRan = false; // an earlier try may have run
    ErrorKind unknown = ErrorKind::None; // how the try ended of which that isn't known
    std::vector<std::string> tried; // server ids
    mutable std::vector<Fingerprint> fingerprints; // of the whole request first; empty until they are needed
    std::optional<CallerResponse> failure; // a server's own failure, delivered if no other try does better
};

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
    , m_repeats(metrics.counter("requests_sent_again"))
    , m_registered(std::make_shared<ServerMap>())
    , m_changed(executor)
    , m_heldBack(executor)
{
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    m_lastReport = m_clock.now();
    spawnLoop(m_executor, "reports", reportLoop());
}

bool Gateway::ready() const { return m_rules != nullptr; }

// --- From control

void Gateway::apply(GatewayUpdate update)
{
    const bool serversChanged = update.rules || update.servers;
    if (update.rules) {
        m_rules = std::move(update.rules);
        m_boundsSink(m_rules->bounds);
    }
    if (update.servers) {
        m_registered = std::move(update.servers);
        m_registeredAsOf = update.serversAsOf;
    }
    if (serversChanged)
        applyServers();
    if (update.crashes) {
        const auto innocent
            = m_crashes.applyCoordinatorUpdate(update.crashes->suspects, update.crashes->quarantined, m_clock.now());
        for (const Fingerprint request : innocent)
            logChange(LogLevel::Info, "suspect-answered", { { "fingerprint", fingerprintText(request) } });
        if (!innocent.empty())
            reportEarly();
    }
    if (update.newCoordinator) {
        m_crashes.repeatToNewCoordinator();
        if (m_crashes.hasUnreported())
            reportEarly();
        for (const auto& [id, server] : m_servers)
            server->repeatRate();
    }
    if (update.shares)
        applyShares(*update.shares);
    for (const auto& id : update.crowded) {
        const auto server = m_servers.find(id);
        if (server != m_servers.end())
            server->second->setCrowded(m_clock.now());
    }
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
    m_sharesSeen = shares.number;
    m_hostCount.count(shares.hosts, now);
    if (m_hosts != shares.hosts) {
        m_hosts = shares.hosts;
        for (auto& [service, budget] : m_budgets)
            budget.setBurst(retryBurst());
        applyServers();
    }
    const size_t sharers = m_hostCount.settled(now).value_or(0);
    for (const auto& [id, server] : m_servers) {
        const auto limit = shares.limits ? shares.limits->find(id) : RateLimits::const_iterator {};
        const bool limited = shares.limits && limit != shares.limits->end();
        server->tellRate(limited ? std::optional(limit->second) : std::nullopt, sharers, now);
    }
    for (const auto& id : std::exchange(m_shared, {})) {
        const auto server = m_servers.find(id);
        if (server != m_servers.end() && !shares.servers.count(id))
            server->second->clearShare(now);
    }
    for (const auto& [id, advice] : shares.servers) {
        const auto server = m_servers.find(id);
        if (server == m_servers.end())
            continue;
        server->second->advise(advice, now);
        if (advice.kind == ServerAdvice::Kind::Share)
            m_shared.push_back(id);
    }
}

// What waits for a server whose key has moved away would only be refused there.
void Gateway::evictMoved(const GrantTable& before, const GrantTable& after)
{
    for (const auto& range : after.ranges) {
        const KeyRange* old = before.find(range.first);
        if (!old || (old->holder == range.holder && old->moving() == range.moving()))
            continue;
        const auto server = m_servers.find(old->holder);
        if (server != m_servers.end())
            server->second->pool.evictQueue();
    }
}

void Gateway::applyServers()
{
    std::erase_if(m_servers, [&](const auto& entry) {
        const bool gone = !m_registered->count(entry.first);
        if (!gone)
            return false;
        entry.second->pool.evictQueue();
        noteGone(*entry.second, "its entry was removed");
        return true;
    });
    m_byService.clear();
    const Instant now = m_clock.now();
    for (const auto& [id, entry] : *m_registered) {
        const RoutedService* service = m_rules ? m_rules->service(entry.service) : nullptr;
        auto& server = m_servers[id];
        if (!server)
            server = std::make_shared<Upstream>(m_executor, m_clock, entry, service);
        server->update(entry, service, m_hosts, now);
        m_byService[entry.service].push_back(server);
    }
}

// --- Requests

BodyRule Gateway::bodyRule(const CallerHeader& header)
{
    if (!m_rules)
        return { ErrorKind::NotFresh, 0 };
    if (!m_rules->match(hostOf(header[http::field::host]), pathOf(header.target())))
        return { ErrorKind::UnknownService, 0 };
    return { ErrorKind::None, m_rules->bounds.bodyBytes };
}

CallerResponse Gateway::refusal(ErrorKind kind)
{
    return ErrorResponses(m_metrics, RetryAfterFormat::FractionalSeconds)
        .make(kind, withJitter(m_options.moveWait), false);
}

RetryBudget& Gateway::budgetOf(const std::string& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    const RetryBudgetOptions options { budgetUsed * m_options.settings.retryRatio, retryBurst() };
    return m_budgets.emplace(service, RetryBudget(options)).first->second;
}

double Gateway::retryBurst() const
{
    // Until a coordinator has said how many hosts there are, hardly any.
    if (!m_hosts)
        return 1;
    return std::max(1.0, budgetUsed * m_options.settings.retrySlack / static_cast<double>(m_hosts));
}

ErrorKind Gateway::prepare(Job& job)
{
    if (!m_rules)
        return ErrorKind::NotFresh;
    CallerRequest& request = job.request;
    job.rules = m_rules;
    job.route = m_rules->match(hostOf(request[http::field::host]), pathOf(request.target()));
    job.id = request[m_names.requestId];
    if (!job.route)
        return ErrorKind::UnknownService;
    job.priority = classOf(*job.route);
    const auto timeLeft = numberIn(request[m_names.timeLeft], 0);
    const Millis patience = timeLeft ? Millis(timeLeft) : job.route->timeout;
    job.callerDeadline = job.arrived + patience;
    job.deadline = std::min(job.callerDeadline - answerWay, job.arrived + job.route->timeout);
    // A caller that comes back says less time left than one that asks for the first time: by that much its target is
    // nearer.
    Millis& longest = m_longestPatience[job.route->name];
    longest = std::max(longest, patience);
    job.target = job.arrived + job.route->target - (longest - patience) - answerWay;
    job.service = m_splits.next(*job.route);
    const RoutedService* service = m_rules->service(job.service);
    job.keyed = service && service->keyed;
    // A request without a key may run wherever its key would be: any one does.
    job.key = static_cast<uint32_t>(numberIn(request[m_names.key], randomNumber()) % numberedKeys);
    stripForServer(request);
    budgetOf(job.service).deposit();
    if (job.keyed)
        m_keyUse[job.service][job.key] += static_cast<uint64_t>(firstWork.count()) * 1000;
    return ErrorKind::None;
}

asio::awaitable<CallerResponse> Gateway::handle(CallerRequest& request, CallerPresence& presence)
{
    Job job { request, presence };
    job.arrived = m_clock.now();
    job.arrivedMicros = m_clock.monotonicMicros();
    const ErrorKind fault = prepare(job);
    if (fault != ErrorKind::None)
        co_return refuse(job, fault);
    if (quarantined(job))
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
                logRequest(job, "answered-late", error, job.tried.back());
            co_return response;
        }
        if (job.presence.gone || !mayTryAgain(job, error))
            co_return refuse(job, error);
        if (job.sends)
            co_await sleepFor(withJitter(retryPause)); // many that failed together don't come back together
    }
}

bool Gateway::mayTryAgain(Job& job, ErrorKind error)
{
    const ErrorAnswer& answer = answerFor(error);
    const Instant now = m_clock.now();
    if (!answer.retryable || now >= job.deadline)
        return false;
    if (job.maybeRan && !job.route->idempotent())
        return false;
    // The server that went away with it may not have gone by chance: the next one is not put at risk.
    if (job.sends && suspect(job))
        return false;
    // Waiting for an owner, or for a connection, is no send: only what reached for a server spends the budget.
    if (error == ErrorKind::OwnerChanged)
        return true;
    if (error == ErrorKind::Moving || error == ErrorKind::NoOwner || error == ErrorKind::WarmingUp)
        return !job.waited;
    if (error == ErrorKind::ServerUnreachable)
        return !job.keyed && job.tried.size() < m_byService[job.service].size();
    if (job.sends >= job.route->maxAttempts || !budgetOf(job.service).tryWithdraw())
        return false;
    m_repeats.add();
    logRequest(job, "request-again", error, job.tried.empty() ? std::string_view() : job.tried.back());
    return true;
}

// --- Where to

Gateway::Located Gateway::locate(const Job& job) { return job.keyed ? locateKey(job) : choose(job); }

Gateway::Located Gateway::locateKey(const Job& job)
{
    const auto table = m_tables.find(job.service);
    const KeyRange* range = table == m_tables.end() ? nullptr : table->second->find(job.key);
    if (!range)
        return { ErrorKind::NoOwner, nullptr, true };
    const HolderState state = range->holderState;
    if (range->moving() && state != HolderState::Unreachable)
        return { ErrorKind::Moving, nullptr, state == HolderState::LettingGo };
    const auto server = m_servers.find(range->holder);
    if (server == m_servers.end())
        return { ErrorKind::NoOwner, nullptr, false };
    const auto& upstream = server->second;
    if (upstream->ended)
        return { ErrorKind::NoOwner, nullptr, false };
    // Its keys are about to move; should that take long, nothing new may reach it in the end.
    const Instant now = m_clock.now();
    const auto overdue = [&](Instant since, Millis within) { return now - since > within - leaveMargin; };
    const bool left = upstream->entry.leaving && overdue(upstream->leavingSince, m_options.settings.leaveWithin);
    const bool saidSo
        = upstream->saysLeaving() && now - upstream->saysLeavingSince() > m_options.settings.leaveWithin - toldMargin;
    const bool cleared
        = upstream->entry.evacuated && overdue(upstream->evacuatedSince, m_options.settings.evacuateWithin);
    if (left || saidSo || cleared)
        return { ErrorKind::NoOwner, nullptr, false };
    if (range->moving() && now < upstream->holdsNothingUntil)
        return { ErrorKind::Moving, nullptr, false };
    if (upstream->wantsRest(now))
        return { ErrorKind::ServerResting, nullptr, false, upstream->restUntil() };
    if (upstream->awaitsTurn(now))
        return { ErrorKind::ServerAtLimit, nullptr, false, upstream->nextTurn(now) };
    // Its keys move to a server that is warm.
    if (!maySendTo(*upstream, now))
        return { ErrorKind::WarmingUp, nullptr, anyWarm(job.service, now), upstream->warmupEnd() };
    return { ErrorKind::None, upstream };
}

Gateway::Located Gateway::choose(const Job& job)
{
    const auto found = m_byService.find(job.service);
    if (found == m_byService.end())
        return { ErrorKind::NoOwner, nullptr, false };
    const Instant now = m_clock.now();
    std::vector<ServerCandidate> candidates;
    candidates.reserve(found->second.size());
    for (const auto& server : found->second) {
        const auto& admission = server->pool.admission();
        ServerCandidate candidate;
        candidate.usable = !server->isUnready(now)
            && std::find(job.tried.begin(), job.tried.end(), server->entry.id) == job.tried.end();
        candidate.resting = server->failing(now) || server->entry.unconfirmed;
        candidate.sameDataCentre = server->entry.dataCentre == m_options.dataCentre;
        candidate.busy = admission.inFlight();
        candidate.waiting = static_cast<unsigned>(admission.queued());
        candidate.limit = admission.limit();
        candidate.workMillis = static_cast<double>(admission.meanWork(job.priority).count());
        // Its permit lapses if it is not used, and only an answer tells when the limit is over.
        if (server->rateLimit())
            candidate.workMillis = 0;
        candidates.push_back(candidate);
    }
    // Bytes between data centres cost more than a little waiting: a large body stays near unless all near are full.
    constexpr size_t largeBody = 16'384;
    constexpr double farForLarge = 3;
    constexpr double farForSmall = 1.4;
    const bool large = job.request.body().size() > largeBody;
    const auto best = chooseServer(candidates, randomNumber(), large ? farForLarge : farForSmall);
    if (!best)
        return chooseUnready(job);
    return { ErrorKind::None, found->second[*best] };
}

Gateway::Located Gateway::chooseUnready(const Job& job)
{
    const Instant now = m_clock.now();
    Located located { ErrorKind::NoOwner, nullptr, false };
    const auto& servers = m_byService.find(job.service)->second;
    const size_t start = randomNumber() % servers.size();
    for (size_t i = 0; i < servers.size(); ++i) {
        const auto& server = servers[(start + i) % servers.size()];
        const bool tried = std::find(job.tried.begin(), job.tried.end(), server->entry.id) != job.tried.end();
        if (server->outOfUse() || tried)
            continue;
        const auto [error, readyAt] = whyUnready(*server, now);
        if (error == ErrorKind::None)
            return { ErrorKind::None, server };
        if (located.error != ErrorKind::NoOwner && readyAt >= located.readyAt)
            continue;
        located.error = error;
        located.readyAt = readyAt;
    }
    return located;
}

std::pair<ErrorKind, Instant> Gateway::whyUnready(const Upstream& server, Instant now) const
{
    if (server.wantsRest(now))
        return { ErrorKind::ServerResting, server.restUntil() };
    if (server.awaitsTurn(now))
        return { ErrorKind::ServerAtLimit, server.nextTurn(now) };
    if (!maySendTo(server, now))
        return { ErrorKind::WarmingUp, server.warmupEnd() };
    return { ErrorKind::None, now };
}

bool Gateway::maySendTo(const Upstream& server, Instant now) const
{
    if (server.awaitsTurn(now))
        return false;
    if (!server.warmingUp(now))
        return true;
    const auto hosts = m_hostCount.settled(now);
    return hosts && server.hasWarmUpTurn(now)
        && maySendDuringWarmUp(m_options.host, server.entry.id, *hosts, server.warmUp());
}

bool Gateway::anyWarm(const std::string& service, Instant now) const
{
    const auto found = m_byService.find(service);
    return found != m_byService.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [&](const auto& server) { return !server->outOfUse() && !server->warmingUp(now); });
}

// --- One try

asio::awaitable<ErrorKind> Gateway::tryOnce(Job& job, CallerResponse& response)
{
    Located at = locate(job);
    if (at.error != ErrorKind::None) {
        job.readyAt = at.readyAt;
        const Instant until = std::min({ job.deadline, job.arrived + m_options.moveWait, at.readyAt });
        const Instant now = m_clock.now();
        // What takes longer than a move is refused at once: waiting would only use up the caller's time.
        job.waited = !at.soon || now >= until;
        if (!job.waited)
            co_await m_changed.wait(until - now);
        co_return at.error;
    }
    const auto server = at.server;
    const Instant asked = m_clock.now();
    server->count(asked);
    server->applyLimit(asked);
    job.share = server->pool.admission().limit();
    job.crowded = server->needsPermit(asked);
    if (job.crowded && (server->crowded(asked) || !server->hasPermit()))
        reportEarly();
    const SlotRequest slot { 0, job.priority, job.route->priority, job.arrived, job.target, job.deadline };
    const auto admitted = co_await server->pool.admit(slot);
    if (admitted == ServerPool::Admitted::Evicted)
        co_return ErrorKind::OwnerChanged;
    if (admitted != ServerPool::Admitted::Yes && job.crowded && server->rateLimit()) {
        job.readyAt = server->nextPermit(m_clock.now());
        co_return ErrorKind::ServerAtLimit;
    }
    if (admitted == ServerPool::Admitted::Refused)
        co_return ErrorKind::Overloaded;
    if (admitted == ServerPool::Admitted::TimedOut)
        co_return ErrorKind::DeadlineBeforeSend;
    const auto giveUp = [&] {
        server->count(m_clock.now());
        server->pool.release(job.priority, Millis(0));
    };
    auto connection = co_await server->pool.take(job.route->idempotent(), m_options.connectTimeout);
    if (!connection) {
        giveUp();
        server->failed(m_clock.now());
        server->connectFailed();
        job.tried.push_back(server->entry.id);
        logRequest(job, "server-unreachable", ErrorKind::ServerUnreachable, server->entry.id);
        co_return ErrorKind::ServerUnreachable;
    }
    // The wait for a slot or a connection may have outlived the table, the server or the caller.
    const Instant connectedAt = m_clock.now();
    const bool closed = server->outOfUse() || server->wantsRest(connectedAt) || !m_servers.count(server->entry.id);
    const bool moved = job.keyed ? locate(job).server != server : closed;
    const Millis leastTime = server->pool.admission().meanWork(job.priority) / 2;
    const bool late = connectedAt + leastTime >= job.deadline;
    // One that started anew holds no keys, and refuses them until its entry is known.
    const bool startedAnew = !job.keyed && !server->connected(connectedAt);
    // It has named a limit since this request was let through without a permit.
    const bool needsPermit = !job.crowded && server->rateLimit() && server->needsPermit(connectedAt);
    const bool heldOff = startedAnew || needsPermit || !maySendTo(*server, connectedAt);
    if (moved || heldOff || late || job.presence.gone) {
        giveUp();
        server->pool.giveBack(std::move(connection));
        co_return moved || heldOff ? ErrorKind::OwnerChanged : ErrorKind::DeadlineBeforeSend;
    }
    if (server->warmingUp(connectedAt))
        server->takeWarmUpTurn(connectedAt);
    server->takeTurn(connectedAt);
    co_return co_await exchange(job, *server, std::move(connection), response);
}

asio::awaitable<ErrorKind> Gateway::exchange(
    Job& job, Upstream& target, ConnectionPointer connection, CallerResponse& response)
{
    const auto server = m_servers.find(target.entry.id);
    const std::shared_ptr<Upstream> held = server == m_servers.end() ? nullptr : server->second;
    if (!held)
        co_return ErrorKind::NoOwner;
    const std::string id = target.entry.id;
    const Instant sentAt = m_clock.now();
    const Millis timeout = job.deadline - sentAt;
    CallerRequest& request = job.request;
    request.set(m_names.wantedServer, serverNameOf(id));
    request.set(m_names.timeLeft, std::to_string(timeout.count()));
    request.keep_alive(true);
    request.prepare_payload();
    ++job.sends;
    job.tried.push_back(id);
    if (job.route->idempotent())
        job.presence.whenGone = [&connection] { connection->abandon(); };
    const Millis usual = held->pool.admission().meanWork(job.priority);
    const auto overdue = held->overdueFrom.insert(sentAt + usual * overdueAfter);
    ExchangeResult result = co_await connection->exchange(request, timeout, m_names.requestId);
    held->overdueFrom.erase(overdue);
    job.presence.whenGone = nullptr;
    const Instant endedAt = m_clock.now();
    const Millis took = std::max(Millis(1), endedAt - sentAt);
    job.serverMicros += took.count() * 1000;
    const ErrorKind error = judge(job, result);
    held->count(endedAt);
    const bool worked = error == ErrorKind::None;
    held->pool.release(job.priority, worked ? took : Millis(0));
    if (held->crowded(endedAt))
        reportEarly();
    if (worked) {
        held->answered();
        held->countWork(took);
    } else if (!job.presence.gone) {
        // Also one that refuses because it is full: it answers at once and has measured no work, so that it would look
        // like the quickest of all and be asked again and again, most of all while servers are replaced.
        held->failed(endedAt);
    }
    if (result.error == ErrorKind::None && !answeredByAnother(result, id))
        takeNotice(job, *held, result.response);
    if (error == ErrorKind::ServerRefused && answeredByAnother(result, id)) {
        held->ended = true;
        logRequest(job, "server-replaced", error, id);
        noteGone(*held, "another server has its address");
    }
    if (!result.ended)
        held->pool.giveBack(std::move(connection));
    if (error == ErrorKind::ServerRefused && result.response.result_int() == misdirected)
        held->holdsNothingUntil = endedAt + refusesAgainFor;
    if (worked) {
        if (suspect(job))
            logRequest(job, "suspect-answered", error, id);
        for (const Fingerprint fingerprint : fingerprintsOf(job))
            m_crashes.answered(fingerprint, endedAt);
    } else {
        noteLostSend(job, held, error);
        if (answerFor(error).ran != Ran::No) {
            job.maybeRan = true;
            job.unknown = error;
        }
        logRequest(job, "send-failed", error, id);
        // Its key is held by another server by now, or will be; or it was full: asked again at once it would refuse
        // again, and each send spends the budget of all.
        if (error == ErrorKind::ServerRefused && job.keyed && held->wantsRest(endedAt)) {
            job.readyAt = held->restUntil();
            co_return ErrorKind::ServerResting;
        }
        if (error == ErrorKind::ServerRefused && job.keyed && !held->ended)
            co_await m_changed.wait(std::min(notHeldPause, std::max(Millis(1), job.deadline - endedAt)));
        co_return error;
    }
    response = std::move(result.response);
    stripForCaller(response);
    constexpr unsigned firstFailure = 500;
    // A server's own failure of a request that may be repeated: another server may do better.
    if (response.result_int() >= firstFailure && job.route->idempotent() && job.sends < job.route->maxAttempts) {
        held->failed(endedAt);
        job.maybeRan = true;
        job.unknown = ErrorKind::BadAnswer;
        job.failure = std::move(response);
        co_return ErrorKind::ServerFailed;
    }
    co_return ErrorKind::None;
}

// --- Requests that crash servers

// Of what is the same each time that it comes: not its id, the time that is left, nor the caller's address, which
// changes with the proxy or the connection that it comes through. What crashes servers may lie in the path alone,
// whatever the query says, or in both.
const std::vector<Fingerprint>& Gateway::fingerprintsOf(const Job& job) const
{
    if (!job.fingerprints.empty())
        return job.fingerprints;
    const CallerRequest& request = job.request;
    const uint64_t seed = hashOf(0, { m_options.settings.fingerprintKey });
    const uint64_t rest = hashOf(seed, { request.method_string(), request[http::field::host], request.body() });
    job.fingerprints.push_back(hashOf(rest, { request.target() }));
    const std::string_view path = pathOf(request.target());
    if (path.size() < request.target().size())
        job.fingerprints.push_back(hashOf(rest, { path }));
    return job.fingerprints;
}

Fingerprint Gateway::fingerprintToTell(const Job& job) const
{
    const auto& fingerprints = fingerprintsOf(job);
    const auto quarantined = std::find_if(fingerprints.begin(), fingerprints.end(),
        [&](Fingerprint request) { return m_crashes.isQuarantined(request); });
    return quarantined == fingerprints.end() ? fingerprints.front() : *quarantined;
}

bool Gateway::quarantined(const Job& job) const
{
    return m_crashes.hasQuarantined() && m_crashes.isQuarantined(fingerprintToTell(job));
}

bool Gateway::suspect(const Job& job) const
{
    if (!m_crashes.hasSuspects())
        return false;
    const auto& fingerprints = fingerprintsOf(job);
    return std::any_of(
        fingerprints.begin(), fingerprints.end(), [&](Fingerprint request) { return m_crashes.isSuspect(request); });
}

void Gateway::noteLostSend(const Job& job, const std::shared_ptr<Upstream>& server, ErrorKind error)
{
    // This host ends an idempotent request when its caller leaves: that tells nothing of the server.
    const bool endedHere = job.presence.gone && job.route->idempotent();
    if (!mayHaveCrashedServer(error) || endedHere || server->leaving())
        return;
    const Instant now = m_clock.now();
    for (const Fingerprint fingerprint : fingerprintsOf(job))
        m_crashes.responseLost(server->entry.id, fingerprint, now);
    // Some servers reset connections while they are full. There each look would be one connection more that takes a
    // place, and make more of them; a crash is seen the first time.
    constexpr Millis lookAgainAfter { 5'000 };
    const bool lookedLately = server->lookedAt != Instant {} && now - server->lookedAt < lookAgainAfter;
    if (error != ErrorKind::ConnectionLost || lookedLately)
        return;
    server->lookedAt = now;
    spawnLoop(m_executor, "server-look", lookAfter(server));
}

// A connection may end for many reasons. Whether its server is still there tells a crash from all others within
// milliseconds; the connection is kept for the next request.
asio::awaitable<void> Gateway::lookAfter(std::shared_ptr<Upstream> server)
{
    auto connection = co_await server->pool.connect(m_options.connectTimeout);
    if (connection) {
        // It may have started again already, or something before it takes connections in its place: whether it went
        // away its entry tells.
        server->pool.giveBack(std::move(connection));
        co_return;
    }
    server->connectFailed();
    noteGone(*server, "it takes no connections");
}

void Gateway::noteGone(const Upstream& server, std::string_view why)
{
    // One that left in good order crashed from nothing.
    if (server.leaving()) {
        m_crashes.serverAlive(server.entry.id);
        return;
    }
    const auto requests = m_crashes.serverGone(server.entry.id, m_clock.now());
    if (requests.empty())
        return;
    boost::json::array fingerprints;
    for (const Fingerprint request : requests)
        fingerprints.emplace_back(fingerprintText(request));
    logChange(LogLevel::Warning, "server-crashed",
        { { "server", server.entry.id }, { "service", server.entry.service }, { "why", why },
            { "requests", std::move(fingerprints) } });
    m_metrics.counter("servers_crashed").add();
    reportEarly();
}

void Gateway::takeNotice(const Job& job, Upstream& server, const BackendResponse& answer)
{
    const std::string limit = joinedValues(answer, m_names.limit);
    const ServerNotice notice
        = parseServerNotice(answer.result_int(), answer[m_names.leaving], answer[http::field::retry_after], limit);
    const Instant now = m_clock.now();
    const std::string& id = server.entry.id;
    if (notice.leaving && !server.saysLeaving()) {
        server.sayLeaving(now);
        m_metrics.counter("servers_saying_they_leave").add();
        logChange(LogLevel::Info, "server-says-leaving", { { "server", id }, { "request", job.id } });
        if (!server.entry.leaving)
            reportEarly();
    }
    if (notice.retryAfter > Millis(0)) {
        const bool known = server.wantsRest(now);
        server.askForRest(now + notice.retryAfter);
        m_metrics.counter("server_rests").add();
        if (!known && mayLog())
            logChange(LogLevel::Info, "server-wants-rest",
                { { "server", id }, { "request", job.id }, { "restMs", notice.retryAfter.count() } });
    }
    if (notice.malformed && !std::exchange(server.noticeIsOdd, true))
        logChange(LogLevel::Warning, "server-notice-odd",
            { { "server", id }, { "request", job.id }, { "leaving", answer[m_names.leaving] },
                { "retryAfter", answer[http::field::retry_after] }, { "limit", limit } });
    if (!notice.limitUnreadable)
        noteRate(job, server, notice.limit);
}

void Gateway::noteRate(const Job& job, Upstream& server, std::optional<PerSecond> limit)
{
    server.sayRate(limit, m_clock.now());
    if (limit)
        m_metrics.counter("server_limits_named").add();
    const auto before = std::exchange(server.namedRate, limit);
    if (before.has_value() != limit.has_value())
        reportEarly();
    if (before == limit || !mayLog())
        return;
    const std::string& id = server.entry.id;
    if (limit)
        logChange(
            LogLevel::Info, "server-names-limit", { { "server", id }, { "request", job.id }, { "perSecond", *limit } });
    else
        logChange(LogLevel::Info, "server-limit-ended", { { "server", id }, { "request", job.id } });
}

bool Gateway::answeredByAnother(const ExchangeResult& result, std::string_view server) const
{
    const std::string_view from = result.response[m_names.server];
    return !from.empty() && from != serverNameOf(server);
}

ErrorKind Gateway::judge(const Job& job, const ExchangeResult& result) const
{
    if (result.error != ErrorKind::None)
        return result.error;
    const BackendResponse& answer = result.response;
    const unsigned status = answer.result_int();
    if (status == misdirected || answer.count(m_names.notExecuted))
        return ErrorKind::ServerRefused;
    // Passed on, these would tell the caller that it did not run, and the server hasn't said so.
    if (status == 503 || status == 429 || status == 408)
        return ErrorKind::BadAnswer;
    if (answeredByAnother(result, job.tried.back()))
        return ErrorKind::BadAnswer;
    const bool success = status >= 200 && status < 300;
    const bool sealed = answer.count(m_names.signature) && !answer.count(http::field::content_encoding);
    return success && !sealed ? ErrorKind::BadAnswer : ErrorKind::None;
}

// --- Answers

CallerResponse Gateway::refuse(const Job& job, ErrorKind error)
{
    if (job.failure)
        return *job.failure;
    // The last try may surely not have run while an earlier one may have: the answer speaks for all of them, and
    // 503 would promise that nothing ran.
    const ErrorKind told = job.maybeRan && answerFor(error).ran == Ran::No ? job.unknown : error;
    logRequest(job, "request-refused", told, job.tried.empty() ? std::string_view() : job.tried.back());
    return ErrorResponses(m_metrics, RetryAfterFormat::FractionalSeconds)
        .make(told, retryAfter(job, error), job.maybeRan);
}

Millis Gateway::retryAfter(const Job& job, ErrorKind error)
{
    constexpr Millis soon { 100 };
    switch (error) {
    case ErrorKind::Overloaded:
    case ErrorKind::DeadlineBeforeSend: {
        const Located at = locate(job);
        return withJitter(std::max(soon, at.server ? at.server->pool.expectedWait(job.priority) : soon));
    }
    case ErrorKind::Moving:
        return withJitter(soon);
    case ErrorKind::WarmingUp:
    case ErrorKind::ServerResting:
    case ErrorKind::ServerAtLimit: {
        // Those that come back then find the server ready, but shouldn't all come in its first moments.
        constexpr Millis over { 500 };
        if (job.readyAt == Instant::max())
            return withJitter(m_options.moveWait);
        const Millis left = job.readyAt - m_clock.now();
        return std::max(soon, left) + randomBelow(over);
    }
    default:
        return withJitter(m_options.moveWait);
    }
}

// Under load refusals come by the thousand. Lines are bounded; what is left out is counted in the next one.
bool Gateway::mayLog()
{
    constexpr double linesPerSecond = 100; // about 30 kB/s, and 1% of a small host's processor time
    constexpr double burst = 200;
    const Instant now = m_clock.now();
    m_lines = std::min(burst, m_lines + linesPerSecond * static_cast<double>((now - m_linesCounted).count()) / 1000);
    m_linesCounted = now;
    if (m_lines < 1) {
        ++m_linesLeftOut;
        m_metrics.counter("log_lines_left_out").add();
        return false;
    }
    m_lines -= 1;
    return true;
}

void Gateway::logRequest(const Job& job, std::string_view event, ErrorKind error, std::string_view server)
{
    if (!mayLog())
        return;
    const auto table = m_tables.find(job.service);
    boost::json::object line;
    line["request"] = job.id;
    line["caller"] = job.presence.address;
    line["error"] = answerFor(error).name;
    line["ran"] = toString(answerFor(error).ran);
    line["route"] = job.route ? job.route->name : std::string();
    line["service"] = job.service;
    line["key"] = job.keyed ? static_cast<int64_t>(job.key) : -1;
    line["server"] = server;
    line["sends"] = job.sends;
    line["slots"] = job.share;
    line["crowded"] = job.crowded;
    line["afterMs"] = (m_clock.now() - job.arrived).count();
    line["atServersMs"] = job.serverMicros / 1000;
    line["targetMs"] = (job.target - job.arrived).count();
    line["deadlineMs"] = (job.deadline - job.arrived).count();
    line["serversAsOf"] = m_registeredAsOf;
    line["rules"] = job.rules ? job.rules->version : 0;
    line["edition"] = table == m_tables.end() ? 0 : table->second->edition.edition;
    if (error == ErrorKind::Quarantined || mayHaveCrashedServer(error))
        line["fingerprint"] = fingerprintText(fingerprintToTell(job));
    line["leftOut"] = std::exchange(m_linesLeftOut, 0);
    logChange(LogLevel::Info, event, std::move(line));
}

// --- Reports

GatewayReport Gateway::makeReport()
{
    const Instant now = m_clock.now();
    GatewayReport report;
    report.over = now - std::exchange(m_lastReport, now);
    report.sharesSeen = m_sharesSeen;
    report.heldBack = std::exchange(m_isHeldBack, false);
    m_crashes.dropExpired(now);
    report.crashes = m_crashes.takeCrashes();
    report.answered = m_crashes.takeAnswered();
    for (auto& [service, uses] : m_keyUse) {
        auto& keys = report.keys[service];
        for (const auto& [key, micros] : uses)
            keys.push_back({ key, micros });
    }
    m_keyUse.clear();
    for (const auto& [id, server] : m_servers) {
        if (server->saysLeaving() && !server->entry.leaving)
            report.leaving.push_back(id);
        if (const auto said = server->rateToReport(now))
            report.rates.push_back({ id, said->limit, said->at });
        if (const auto use = server->takeUse(now, report.over))
            report.servers.emplace(id, *use);
        server->dropPermits(now);
        server->applyLimit(now);
    }
    return report;
}

// A request waits for a permit, or a place at a crowded server is free for another host.
void Gateway::reportEarly()
{
    m_isHeldBack = true;
    m_heldBack.notifyAll();
}

asio::awaitable<void> Gateway::reportLoop()
{
    for (;;) {
        if (!m_isHeldBack)
            co_await m_heldBack.wait(reportEvery);
        const Millis since = m_clock.now() - m_lastReport;
        if (since < shortestReport)
            co_await sleepFor(shortestReport - since);
        m_report(makeReport());
    }
}

}
