#include "backends/Prober.h"

#include "web/Signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis delayAfterRefusal { 20 }; // a refusal arrives at once: this confirms it soon without a busy loop
    constexpr size_t maxIdleConnections = 1;
    constexpr auto token = asio::as_tuple(asio::use_awaitable);

    asio::awaitable<bool> refusesConnections(std::string address, uint16_t port, Millis timeout)
    {
        boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(timeout);
        const auto [error] = co_await stream.async_connect({ asio::ip::make_address(address), port }, token);
        co_return error == asio::error::connection_refused;
    }

}

Prober::Prober(asio::any_io_executor executor, const Clock& clock, std::string ownHost, std::string address,
    uint16_t port, MonitorOptions options, ServerMonitor& monitor, std::function<void()> onChange)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_ownHost(std::move(ownHost))
    , m_address(std::move(address))
    , m_port(port)
    , m_options(options)
    , m_monitor(monitor)
    , m_onChange(std::move(onChange))
    , m_client(std::make_unique<HttpClient>(m_executor, m_address, m_port, maxIdleConnections, shortResponseLimits))
{
}

void Prober::start() { spawnLoop(m_executor, "probes", run(shared_from_this())); }

asio::awaitable<void> Prober::run(std::shared_ptr<Prober> self)
{
    while (!self->m_stopped)
        co_await self->probe();
}

asio::awaitable<void> Prober::probe()
{
    HttpCall call;
    call.target = "/health";
    call.headers.emplace_back("Cumindale-Host", m_ownHost);
    const Instant sentAt = m_clock.now();
    const HttpReply reply = co_await m_client->send(call, m_options.probeTimeout);
    if (m_stopped)
        co_return;
    const Reachability previousReachability = m_monitor.reachability();
    const bool acceptedNewWork = m_monitor.acceptsNewWork();
    Millis delay = m_options.probeInterval;
    if (reply.hasResponse()) {
        m_monitor.answered(m_clock.now());
    } else if (m_clock.now() - sentAt >= m_options.probeTimeout) {
        // The next probe uses a new connection at once: if the server answers there, only the old connection was dead.
        m_monitor.probeMissed(m_clock.now());
        delay = Millis(0);
    } else {
        const bool refused = co_await refusesConnections(m_address, m_port, m_options.probeTimeout);
        if (m_stopped)
            co_return;
        if (refused)
            m_monitor.refused(m_clock.now());
        delay = delayAfterRefusal;
    }
    if (m_monitor.reachability() != previousReachability || m_monitor.acceptsNewWork() != acceptedNewWork)
        m_onChange();
    co_await sleepFor(delay);
}

}
