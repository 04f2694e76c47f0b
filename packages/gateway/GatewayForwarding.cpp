// The part of the Gateway that deals with the loss of the path to the servers: requests are served through another
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
    return m_reach.cutOff() && !m_reach.sendsDirectly(server, mayTry);
}

// The other host waits for a slot, sends the request and retries it. An answer of its own is this host's answer, too.
asio::awaitable<ErrorKind> Gateway::forward(Job& job, CallerResponse& response)
{
    // A request that another host has forwarded isn't forwarded again, so that none goes round.
    if (!job.forwardedBy.empty())
        co_return ErrorKind::ServerUnreachable;
    constexpr size_t maxTargets = 3; // that say that they are cut off as well, or can't be reached
    std::vector<std::string> tried;
    while (tried.size() < maxTargets && !job.presence.disconnected) {
        if (m_clock.now() >= job.deadline)
            co_return ErrorKind::DeadlineBeforeSend;
        const auto target = m_forwarder.choose(tried);
        if (!target)
            break;
        tried.push_back(target->host);
        job.forwardedTo = target->host;
        setForwardHeaders(job.request, { m_options.host, job.callerAddress, job.service, job.sends });
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
        const ErrorKind error = recordForwarded(job, *target, *result);
        if (error == ErrorKind::ServerUnreachable)
            continue; // the other host has no path either
        response = std::move(result->response);
        stripForCaller(response);
        if (error == ErrorKind::None)
            co_return error;
        if (!result->incomplete)
            job.forwardedRefusal = std::move(response);
        job.waited = true; // the other host has waited and retried already
        co_return error;
    }
    job.waited = true;
    co_return ErrorKind::ServerUnreachable;
}

ErrorKind Gateway::recordForwarded(Job& job, const ForwardTarget& target, ExchangeResult& result)
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
        return job.uncertainError;
    }
    job.sends = std::max(job.sends, outcome->sends);
    if (outcome->error == ErrorKind::ServerUnreachable)
        m_forwarder.avoid(target);
    return outcome->error;
}

// --- On the host that serves a forwarded request

asio::awaitable<CallerResponse> Gateway::handleForwarded(CallerRequest& request, CallerConnection& presence)
{
    const ForwardedRequest forwarded = takeForwardHeaders(request);
    Job job { request, presence, m_crashes.fingerprintsOf(request) };
    job.callerAddress = forwarded.caller;
    job.forwardedBy = forwarded.host;
    job.forwardedService = forwarded.service;
    job.sends = forwarded.sends;
    m_forwardedServed.add();
    CallerResponse response = co_await serve(job);
    setForwardResult(response, { job.refused, job.sends });
    co_return response;
}

CallerResponse Gateway::forwardedErrorResponse(ErrorKind error)
{
    CallerResponse response = errorResponse(error);
    setForwardResult(response, { error, 0 });
    return response;
}

}
