#include "callers/CallerServer.h"

#include "callers/CallerSession.h"
#include "web/Signal.h"
#include "web/Sockets.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

    constexpr Millis sessionCheckInterval { 50 };

}

struct CallerServer::Shared {
    using Sessions = std::list<std::shared_ptr<CallerSession>>;

    tcp::acceptor acceptor;
    std::shared_ptr<CallerContext> context;
    Counter& refusedConnections;
    Sessions sessions;

    static asio::awaitable<void> acceptCallers(std::shared_ptr<Shared>);
    static asio::awaitable<void> monitorSessions(std::shared_ptr<Shared>);
    static asio::awaitable<void> serve(std::shared_ptr<Shared>, Sessions::iterator);
};

// Detects disconnected callers and ends operations whose deadline has passed. One loop checks all sessions, in place of
// a timer for each.
asio::awaitable<void> CallerServer::Shared::monitorSessions(std::shared_ptr<Shared> shared)
{
    while (shared->acceptor.is_open() || !shared->sessions.empty()) {
        co_await sleepFor(sessionCheckInterval);
        for (const auto& session : shared->sessions)
            session->check();
    }
}

asio::awaitable<void> CallerServer::Shared::serve(std::shared_ptr<Shared> shared, Sessions::iterator session)
{
    const std::shared_ptr<CallerSession> held = *session;
    co_await held->run();
    shared->sessions.erase(session);
}

asio::awaitable<void> CallerServer::Shared::acceptCallers(std::shared_ptr<Shared> shared)
{
    for (;;) {
        auto socket = co_await acceptFrom(shared->acceptor);
        if (!socket)
            co_return;
        if (!shared->context->budget.admitConnection(shared->context->clock.now())) {
            shared->refusedConnections.add();
            continue; // closes the socket: the load balancer tries another host
        }
        shared->sessions.push_back(
            std::make_shared<CallerSession>(shared->context, beast::tcp_stream(std::move(*socket))));
        asio::co_spawn(
            shared->acceptor.get_executor(), serve(shared, std::prev(shared->sessions.end())), asio::detached);
    }
}

CallerServer::CallerServer(asio::any_io_executor executor, const Clock& clock, std::string address, uint16_t port,
    CallerLimits limits, RequestHandler& handler, Metrics& metrics, std::string healthPath)
    : m_shared(new Shared { tcp::acceptor(executor, { asio::ip::make_address(address), port }),
        std::make_shared<CallerContext>(clock, limits, handler, metrics, std::move(healthPath)),
        metrics.counter("callers_refused_connections"), {} })
{
    spawnLoop(executor, "accept-callers", Shared::acceptCallers(m_shared));
    spawnLoop(executor, "overdue-callers", Shared::monitorSessions(m_shared));
}

CallerServer::~CallerServer()
{
    beast::error_code ignored;
    m_shared->acceptor.close(ignored);
}

void CallerServer::setLimits(const CallerLimits& limits)
{
    m_shared->context->limits = limits;
    m_shared->context->budget.setLimits(budgetLimits(limits));
}

void CallerServer::startDraining() { m_shared->context->draining = true; }

void CallerServer::stopAccepting()
{
    beast::error_code ignored;
    m_shared->acceptor.close(ignored);
}

void CallerServer::closeIdle(Millis idleFor)
{
    // If a connection is closed while a request is on the way to it, the caller can't tell whether the request ran.
    // Only connections that the load balancer hasn't used for a while are closed for this reason.
    for (const auto& session : m_shared->sessions)
        session->closeIfIdle(idleFor);
}

uint16_t CallerServer::port() const { return m_shared->acceptor.local_endpoint().port(); }

size_t CallerServer::connections() const { return m_shared->sessions.size(); }

}
