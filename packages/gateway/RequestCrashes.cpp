#include "gateway/RequestCrashes.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "resources/QuarantineCodec.h"
#include "routing/RequestHeaders.h"
#include "web/Signal.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace cumindale {

namespace asio = boost::asio;
namespace http = boost::beast::http;

bool mayHaveCrashedServer(ErrorKind error)
{
    return error == ErrorKind::ConnectionLost || error == ErrorKind::DeadlineAfterSend;
}

// --- Fingerprints

RequestFingerprints::RequestFingerprints(const CallerRequest& request, uint64_t seed)
    : m_request(request)
    , m_seed(seed)
{
}

const std::vector<Fingerprint>& RequestFingerprints::all() const
{
    if (!m_fingerprints.empty())
        return m_fingerprints;
    const uint64_t rest = hashOf(m_seed, { m_request.method_string(), m_request[http::field::host], m_request.body() });
    m_fingerprints.push_back(hashOf(rest, { m_request.target() }));
    const std::string_view path = pathOf(m_request.target());
    if (path.size() < m_request.target().size())
        m_fingerprints.push_back(hashOf(rest, { path }));
    return m_fingerprints;
}

RequestCrashes::RequestCrashes(asio::any_io_executor executor, const Clock& clock, Metrics& metrics,
    const RequestCrashOptions& options, EarlyReport reportEarly, GoneCheck confirmGone)
    : m_executor(executor)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_fingerprintSeed(hashOf(0, { options.fingerprintKey }))
    , m_connectTimeout(options.connectTimeout)
    , m_reportEarly(std::move(reportEarly))
    , m_confirmGone(std::move(confirmGone))
{
}

RequestFingerprints RequestCrashes::fingerprintsOf(const CallerRequest& request) const
{
    return { request, m_fingerprintSeed };
}

// --- From the coordinator

void RequestCrashes::apply(const CrashUpdate& update)
{
    const auto cleared = m_tracker.applyCoordinatorUpdate(update.suspects, update.quarantined, m_clock.now());
    for (const Fingerprint request : cleared)
        logChange(LogLevel::Info, "suspect-answered", { { "fingerprint", formatFingerprint(request) } });
    if (!cleared.empty())
        m_reportEarly();
}

void RequestCrashes::repeatToNewCoordinator()
{
    m_tracker.repeatToNewCoordinator();
    if (m_tracker.hasUnreported())
        m_reportEarly();
}

// --- Queries

Fingerprint RequestCrashes::relevantFingerprint(const RequestFingerprints& request) const
{
    const auto& fingerprints = request.all();
    const auto quarantined = std::find_if(fingerprints.begin(), fingerprints.end(),
        [&](Fingerprint fingerprint) { return m_tracker.isQuarantined(fingerprint); });
    return quarantined == fingerprints.end() ? fingerprints.front() : *quarantined;
}

bool RequestCrashes::isQuarantined(const RequestFingerprints& request) const
{
    return m_tracker.hasQuarantined() && m_tracker.isQuarantined(relevantFingerprint(request));
}

bool RequestCrashes::isSuspect(const RequestFingerprints& request) const
{
    if (!m_tracker.hasSuspects())
        return false;
    const auto& fingerprints = request.all();
    return std::any_of(fingerprints.begin(), fingerprints.end(),
        [&](Fingerprint fingerprint) { return m_tracker.isSuspect(fingerprint); });
}

// --- Events on this host

void RequestCrashes::recordAnswered(const RequestFingerprints& request, Instant now)
{
    for (const Fingerprint fingerprint : request.all())
        m_tracker.answered(fingerprint, now);
}

void RequestCrashes::recordLostResponse(
    const RequestFingerprints& request, const std::shared_ptr<Upstream>& server, ErrorKind error)
{
    if (!mayHaveCrashedServer(error) || server->leaving() || m_cutOff)
        return;
    const Instant now = m_clock.now();
    for (const Fingerprint fingerprint : request.all())
        m_tracker.responseLost(server->entry.id, fingerprint, now);
    if (error == ErrorKind::ConnectionLost)
        checkAfterLostConnection(server, now);
}

void RequestCrashes::checkAfterLostConnection(const std::shared_ptr<Upstream>& server, Instant now)
{
    // Some servers reset connections while they are full. Each check takes one more connection there and causes more
    // resets. The first check is enough to detect a crash.
    constexpr Millis checkInterval { 5'000 };
    const bool checkedRecently
        = server->reachabilityCheckedAt != Instant {} && now - server->reachabilityCheckedAt < checkInterval;
    if (checkedRecently)
        return;
    server->reachabilityCheckedAt = now;
    spawnLoop(m_executor, "server-look", checkReachable(server));
}

// A connection may end for many reasons. Connecting again tells a crash from the others within milliseconds.
asio::awaitable<void> RequestCrashes::checkReachable(std::shared_ptr<Upstream> server)
{
    // If it connects, the server may have restarted already, or a proxy may accept connections in its place. In these
    // cases only the server's entry shows that it went away.
    const bool connected = co_await server->pool.tryConnect(m_connectTimeout);
    if (connected)
        co_return;
    server->acceptsConnections = false;
    // A request that was at the server stays known for a while, should the server's entry be removed.
    const bool gone = co_await m_confirmGone(server->entry.id);
    if (!gone)
        co_return;
    server->connectFailed();
    recordServerGone(*server, "the server accepts no connections");
}

void RequestCrashes::setCutOff(bool cutOff)
{
    m_cutOff = cutOff;
    m_tracker.forgetLostRequests();
}

void RequestCrashes::recordServerGone(const Upstream& server, std::string_view why)
{
    // A server that shut down in good order has not crashed.
    if (server.leaving()) {
        m_tracker.serverAlive(server.entry.id);
        return;
    }
    const auto requests = m_tracker.serverGone(server.entry.id, m_clock.now());
    if (requests.empty())
        return;
    boost::json::array fingerprints;
    for (const Fingerprint request : requests)
        fingerprints.emplace_back(formatFingerprint(request));
    logChange(LogLevel::Warning, "server-crashed",
        { { "server", server.entry.id }, { "service", server.entry.service }, { "why", why },
            { "requests", std::move(fingerprints) } });
    m_metrics.counter("servers_crashed").add();
    m_reportEarly();
}

// --- Reports

void RequestCrashes::addTo(GatewayReport& report, Instant now)
{
    m_tracker.dropExpired(now);
    report.crashes = m_tracker.takeCrashes();
    report.answered = m_tracker.takeAnswered();
}

}
