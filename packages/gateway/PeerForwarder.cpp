#include "gateway/PeerForwarder.h"

#include "base/Random.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    // Until a host that is cut off has told the coordinator so, and the coordinator this host.
    constexpr Millis avoidanceTime { 1'000 };
    constexpr unsigned connectionsPerHost = 64; // kept idle

    // Forwards the request's cancellation while the exchange lasts.
    class CancelGuard {
    public:
        CancelGuard(const PeerForwarder::Exchange& exchange, BackendConnection& connection)
            : m_exchange(exchange)
        {
            m_exchange.setCancel([&connection] { connection.cancelExchange(); });
        }
        ~CancelGuard() { m_exchange.setCancel(nullptr); }
        CancelGuard(const CancelGuard&) = delete;
        CancelGuard& operator=(const CancelGuard&) = delete;

    private:
        const PeerForwarder::Exchange& m_exchange;
    };

}

PeerForwarder::PeerForwarder(asio::any_io_executor executor, const Clock& clock, std::string dataCentre,
    Millis connectTimeout, std::shared_ptr<ResponseMemory> responseMemory, Metrics& metrics)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_connectTimeout(connectTimeout)
    , m_responseMemory(std::move(responseMemory))
    , m_forwarded(metrics.counter("requests_forwarded"))
    , m_forwardsLost(metrics.counter("requests_forwarded_lost"))
    , m_choice(std::move(dataCentre))
{
}

void PeerForwarder::setTargets(const std::vector<ForwardTarget>& targets)
{
    m_choice.setTargets(targets);
    std::erase_if(m_pools, [&](const auto& pool) {
        return std::none_of(
            targets.begin(), targets.end(), [&](const auto& target) { return target.host == pool.first; });
    });
}

std::optional<ForwardTarget> PeerForwarder::choose(std::span<const std::string> excluded) const
{
    return m_choice.choose(excluded, m_clock.now(), randomNumber());
}

std::optional<ForwardTarget> PeerForwarder::targetNamed(std::string_view host) const
{
    const auto& targets = m_choice.targets();
    const auto found
        = std::find_if(targets.begin(), targets.end(), [&](const auto& target) { return target.host == host; });
    return found == targets.end() ? std::nullopt : std::optional(*found);
}

void PeerForwarder::avoid(const ForwardTarget& target) { m_choice.avoid(target.host, m_clock.now() + avoidanceTime); }

std::shared_ptr<ServerPool> PeerForwarder::poolOf(const ForwardTarget& target)
{
    ServerResource resource;
    resource.name = target.host;
    const auto colon = target.address.rfind(':');
    resource.address = target.address.substr(0, colon);
    resource.port = static_cast<uint16_t>(std::strtoul(target.address.c_str() + colon + 1, nullptr, 10));
    resource.connections = connectionsPerHost;
    auto& pool = m_pools[target.host];
    if (!pool)
        pool = std::make_shared<ServerPool>(m_executor, m_clock, resource, MonitorOptions {}, m_responseMemory);
    constexpr size_t sharingHosts = 1; // the limit of connections is this host's own
    pool->update(resource, sharingHosts);
    return pool;
}

asio::awaitable<std::optional<ExchangeResult>> PeerForwarder::exchange(ForwardTarget target, Exchange exchange)
{
    const auto pool = poolOf(target);
    auto connection = co_await pool->acquireConnection(
        exchange.idempotent, m_connectTimeout, exchange.request[exchange.requestIdHeader]);
    if (!connection) {
        avoid(target);
        co_return std::nullopt;
    }
    m_forwarded.add();
    m_choice.started(target.host);
    const Millis timeout = std::max(Millis(1), exchange.deadline - m_clock.now());
    ExchangeResult result;
    {
        const CancelGuard cancellation(exchange, *connection);
        result = co_await connection->exchange(exchange.request, timeout, exchange.requestIdHeader);
    }
    m_choice.ended(target.host);
    if (result.error != ErrorKind::None)
        m_forwardsLost.add();
    if (result.error == ErrorKind::ConnectionLost || !connection->reusable())
        avoid(target);
    if (!result.incomplete)
        pool->returnConnection(std::move(connection));
    co_return result;
}

asio::awaitable<std::optional<ExchangeResult>> PeerForwarder::query(
    ForwardTarget target, BackendRequest& request, Millis timeout)
{
    const auto pool = poolOf(target);
    constexpr bool idempotent = true;
    auto connection = co_await pool->acquireConnection(idempotent, m_connectTimeout);
    if (!connection)
        co_return std::nullopt;
    ExchangeResult result = co_await connection->exchange(request, timeout, {});
    if (!result.incomplete)
        pool->returnConnection(std::move(connection));
    co_return result;
}

}
