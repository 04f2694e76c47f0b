// The part of the Gateway that deals with the loss of the path to servers: requests are served through another
// host, and those that other hosts forward are served here.
#include "gateway/Gateway.h"

#include "base/Log.h"
#include "gateway/ForwardHeaders.h"
#include "gateway/GatewayJob.h"
#include "routing/RequestHeaders.h"

namespace cumindale {

namespace asio = boost::asio;

// --- On the host that has no path to the servers

// Failures that were counted while this host lost or regained its path say nothing about the servers.
void Gateway::onReachChange(bool cutOff)
{
    for (const auto& [id, server] : m_servers.inUse()) {
        server->forgetFailures();
        if (cutOff)
            server->pool.evictQueue(); // waiting requests are forwarded
    }
    m_crashes.setCutOff(cutOff);
    // With connections that hang no response comes before the path is back. Other hosts can repeat idempotent requests.
    constexpr Millis silence { 500 };
    if (cutOff && m_clock.now() - m_reach.lastAnswer() >= silence) {
        for (BackendConnection* connection : m_idempotentExchanges)
            connection->cancelExchange();
    }
    reportEarly();
}

// Without a target this host may as well try a server of which nothing is known. A forwarded request goes back at once
// instead, since its first host can ask another one.
bool Gateway::mustForward(const Job& job, const Upstream& server) const
{
    const bool mayTry = job.forwardedBy.empty() && !m_forwarder.hasTargets();
    // A request that was lost with its connection may have crashed the server, so it isn't carried on to another host.
    // While most connections are lost, this says nothing about the request.
    if (!m_reach.cutOff() && (mayTry || job.sends))
        return false;
    return !m_reach.sendsDirectly(server, mayTry);
}

// Either the server has crashed, or other hosts reach it: the answer to a request that one of them serves tells. Where
// another server can take the request, none is needed.
bool Gateway::startTrial(const Job& job, const Upstream& server)
{
    const bool otherServers = !job.keyed && job.tried.size() + 1 < m_servers.countOf(job.service);
    if (!job.forwardedBy.empty() || job.sends || otherServers || !m_forwarder.hasTargets())
        return false;
    return !m_crashes.isSuspect(job.fingerprints) && m_reach.startTrial(server);
}

asio::awaitable<ErrorKind> Gateway::forwardTrial(Job& job, const Upstream& server, CallerResponse& response)
{
    const ErrorKind error = co_await forward(job, server, response);
    m_reach.trialEnded(server);
    co_return error;
}

// The other host waits for a slot, sends the request and retries it. An answer of its own is this host's answer, too.
// `server`: that this host doesn't reach. Without a key another one may serve the request.
asio::awaitable<ErrorKind> Gateway::forward(Job& job, const Upstream& server, CallerResponse& response)
{
    // A request that another host has forwarded isn't forwarded again, so that none goes round.
    if (!job.forwardedBy.empty()) {
        if (!m_reach.cutOff())
            job.tried.push_back(server.entry.id); // this host reaches other servers
        co_return ErrorKind::ServerUnreachable;
    }
    constexpr size_t maxTargets = 3; // that say that they are cut off as well, or can't be reached
    size_t targets = 0;
    std::vector<std::string> excluded; // hosts
    if (job.keyed)
        excluded = m_queries.hostsWithout(server.entry.id);
    bool unreachableElsewhere = !excluded.empty() && !m_forwarder.choose(excluded);
    while (targets < maxTargets && !job.presence.disconnected) {
        const Instant now = m_clock.now();
        if (now >= job.deadline || !maySend(now, job.deadline))
            co_return ErrorKind::DeadlineBeforeSend;
        const auto target = m_forwarder.choose(excluded);
        if (!target)
            break;
        ++targets;
        excluded.push_back(target->host);
        job.forwardedTo = target->host;
        setForwardHeaders(
            job.request, { m_options.host, job.callerAddress, job.service, job.rules->revision, job.sends });
        const Millis timeLeft = std::max(Millis(1), job.deadline - m_clock.now());
        job.request.set(m_names.timeLeft, std::to_string(timeLeft.count()));
        job.request.keep_alive(true);
        job.request.prepare_payload();
        PeerForwarder::Exchange exchange { job.request, m_names.requestId, job.route->idempotent(), job.deadline,
            [&job](std::function<void()> cancel) {
                if (job.route->idempotent())
                    job.presence.onDisconnect = std::move(cancel);
            } };
        auto result = co_await m_forwarder.exchange(*target, std::move(exchange));
        if (!result)
            continue; // nothing was sent
        const auto [error, sends, servedBy] = recordForwarded(job, *target, *result);
        // The other host has other rules, or is stopping. One of a former version says the first by a final error.
        if (error == ErrorKind::NotFresh || error == ErrorKind::ShuttingDown || errorInfo(error).restsOnRules)
            continue;
        if (error == ErrorKind::ServerUnreachable) {
            unreachableElsewhere |= servedBy == server.entry.id;
            continue; // the other host has no path either
        }
        response = std::move(result->response);
        stripForCaller(response);
        if (error == ErrorKind::None)
            co_return error;
        if (!result->incomplete)
            job.forwardedRefusal = std::move(response);
        job.waited = true; // the other host has waited and retried already
        co_return error;
    }
    if (unreachableElsewhere)
        m_reach.recordUnreachableElsewhere(server);
    job.tried.push_back(server.entry.id);
    job.waited = true;
    co_return ErrorKind::ServerUnreachable;
}

ForwardResult Gateway::recordForwarded(Job& job, const ForwardTarget& target, ExchangeResult& result)
{
    std::optional<ForwardResult> outcome;
    if (result.error == ErrorKind::None)
        outcome = takeForwardResult(result.response);
    if (!outcome) {
        // The other host may have sent the request as often as the route allows.
        job.sends = std::max(job.sends, job.route->maxAttempts);
        job.maybeRan = true;
        job.uncertainError = result.error == ErrorKind::None ? ErrorKind::BadAnswer : result.error;
        logRequest(job, "forward-failed", job.uncertainError, {});
        result.incomplete = true;
        return { job.uncertainError, job.sends, {} };
    }
    job.sends = std::max(job.sends, outcome->sends);
    const ErrorKind error = outcome->error;
    if (error == ErrorKind::ServerUnreachable && outcome->server.empty())
        m_forwarder.avoid(target); // it is cut off from all servers
    if (error == ErrorKind::ServerUnreachable && job.keyed && !outcome->server.empty())
        m_queries.recordLacking({ outcome->server, target.host });
    if (error == ErrorKind::None || error == ErrorKind::ServerRefused)
        m_reach.recordAnswerElsewhere(outcome->server);
    return *outcome;
}

// Without a path to any server, or to this one, it seems to have crashed. Other hosts that reach it know better; if
// none of them tells, this host goes by what it sees.
asio::awaitable<bool> Gateway::confirmServerGone(std::string server)
{
    const bool cutOff = co_await m_reach.checkCutOff();
    if (cutOff)
        co_return false;
    const Reached elsewhere = co_await m_queries.ask(server);
    if (elsewhere == Reached::Yes)
        logChange(LogLevel::Info, "server-lost-here-only", { { "server", server } });
    co_return elsewhere != Reached::Yes && !m_reach.cutOff();
}

// --- On the host that serves a forwarded request

asio::awaitable<CallerResponse> Gateway::handleForwarded(CallerRequest& request, CallerConnection& presence)
{
    const ForwardedRequest forwarded = takeForwardHeaders(request);
    Job job { request, presence, m_crashes.fingerprintsOf(request) };
    job.callerAddress = forwarded.caller;
    job.forwardedBy = forwarded.host;
    job.forwardedService = forwarded.service;
    job.forwardedRules = forwarded.rulesRevision;
    job.sends = forwarded.sends;
    m_forwardedServed.add();
    CallerResponse response = co_await serve(job);
    setForwardResult(response, { job.refused, job.sends, job.tried.empty() ? std::string() : job.tried.back() });
    co_return response;
}

CallerResponse Gateway::forwardedErrorResponse(ErrorKind error, const CallerHeader& header)
{
    const ErrorKind answered = confirmedError(error, true);
    CallerResponse response = refuseUnhandled(answered, header);
    setForwardResult(response, { answered, 0, {} });
    return response;
}

asio::awaitable<CallerResponse> Gateway::handleReachQuery(std::string server)
{
    const std::shared_ptr<Upstream> held = m_servers.upstream(server);
    if (!held || m_reach.cutOff())
        co_return reachResponse(Reached::Unknown);
    if (held->replaced)
        co_return reachResponse(Reached::No);
    const bool connected = co_await held->pool.tryConnect(m_options.connectTimeout);
    co_return reachResponse(connected ? Reached::Yes : Reached::No);
}

}
