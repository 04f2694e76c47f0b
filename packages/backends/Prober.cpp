#include "backends/Prober.h"

#include "web/Signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis afterRefusal { 20 }; // a refusal comes at once: confirm it soon, without a busy loop
    constexpr auto token = asio::as_tuple(asio::use_awaitable);

    asio::awaitable<bool> refusesConnections(std::string address, uint16_t port, Millis timeout)
    {
        boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(timeout);
        const auto [error] = co_await stream.async_connect({ asio::ip::make_address(address), port }, token);
        co_return error == asio::error::connection_refused;
    }

}

Prober::Prober(asio::any_io_executor executor, const Clock& clock, std::string host, std::string address, uint16_t port,
    MonitorOptions options, ServerMonitor& watch, std::function<void()> changed)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_host(std::move(host))
    , m_address(std::move(address))
    , m_port(port)
    , m_options(options)
    , m_watch(watch)
    , m_changed(std::move(changed))
    , m_client(std::make_unique<HttpClient>(m_executor, m_address, m_port))
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
    call.headers.emplace_back("Cumindale-Host", m_host);
    const Instant askedAt = m_clock.now();
    const HttpReply reply = co_await m_client->send(call, m_options.probeTimeout);
    if (m_stopped)
        co_return;
    const Reachability before = m_watch.reachability();
    const bool tookWork = m_watch.acceptsNewWork();
    Millis pause = m_options.probeInterval;
    if (reply.arrived()) {
        m_watch.answered(m_clock.now());
    } else if (m_clock.now() - askedAt >= m_options.probeTimeout) {
        // The next probe goes over a fresh connection: if that answers, only the old one had gone silent.
        m_watch.probeMissed(m_clock.now());
        pause = Millis(0);
    } else {
        const bool refused = co_await refusesConnections(m_address, m_port, m_options.probeTimeout);
        if (m_stopped)
            co_return;
        if (refused)
            m_watch.refused(m_clock.now());
        pause = afterRefusal;
    }
    if (m_watch.reachability() != before || m_watch.acceptsNewWork() != tookWork)
        m_changed();
    co_await sleepFor(pause);
}

}
