#include "backends/ServerPool.h"

#include "base/Hash.h"
#include "web/Sockets.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Sections: one connection, slots, connections.

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr Millis idleTimeoutMargin { 500 }; // a connection is not reused this shortly before the server closes it
    // Limit of the requests in flight from all hosts, as a multiple of the server's slots. Each host's share is rounded
    // up.
    constexpr unsigned slotOvercommitFactor = 1;

}

// --- One connection

BackendConnection::BackendConnection(
    asio::any_io_executor executor, const Clock& clock, std::shared_ptr<ResponseMemory> memory)
    : m_clock(clock)
    , m_stream(std::move(executor))
    , m_memory(std::move(memory))
{
}

asio::awaitable<bool> BackendConnection::connect(const ServerResource& server, Millis timeout)
{
    m_reusable = co_await connectTo(m_stream, server.address, server.port, timeout);
    beast::error_code ignored; // the peer may have closed the connection already
    m_localPort = m_reusable ? m_stream.socket().local_endpoint(ignored).port() : uint16_t(0);
    co_return m_reusable;
}

void BackendConnection::recordRequest(std::string_view echoed, Millis timeout)
{
    const Instant now = m_clock.now();
    std::erase_if(m_carried, [now](const CarriedRequest& carried) { return carried.deadline <= now; });
    if (!echoed.empty())
        m_carried.push_back({ hashOf(0, { echoed }), now + timeout });
}

bool BackendConnection::hasCarried(std::string_view echoed) const
{
    if (echoed.empty() || m_carried.empty())
        return false;
    const uint64_t hash = hashOf(0, { echoed });
    const Instant now = m_clock.now();
    return std::any_of(m_carried.begin(), m_carried.end(),
        [&](const CarriedRequest& carried) { return carried.echoedHash == hash && now < carried.deadline; });
}

bool BackendConnection::hasUnsolicitedInput() { return isReadable(m_stream); }

namespace {

    // Idle time after which the server closes the connection, from a header such as "Keep-Alive: timeout=5" (RFC 2068,
    // section 19.7.1.1); Millis::max() without that header.
    Millis keepAliveTimeoutOf(const BackendResponse& response)
    {
        const std::string_view text = response[http::field::keep_alive];
        constexpr std::string_view name = "timeout=";
        const auto at = text.find(name);
        if (at == std::string_view::npos)
            return Millis::max();
        const long seconds = std::strtol(std::string(text.substr(at + name.size())).c_str(), nullptr, 10);
        return Millis(seconds * 1000);
    }

    bool isConnectionLoss(beast::error_code error)
    {
        return error == http::error::end_of_stream || error == http::error::partial_message
            || error.category() == asio::error::get_system_category();
    }

    // Whether the connection was reset while a request was written. A socket reports a reset once: the next read sees
    // the end of the stream as if the server had closed the connection in order. If it had, the write fails with EPIPE.
    bool hidesReset(beast::error_code writeError) { return writeError && writeError != asio::error::broken_pipe; }

    ErrorKind responseErrorKind(beast::error_code error)
    {
        if (error == beast::error::timeout)
            return ErrorKind::DeadlineAfterSend;
        return isConnectionLoss(error) ? ErrorKind::ConnectionLost : ErrorKind::BadAnswer;
    }

}

asio::awaitable<ExchangeResult> BackendConnection::exchange(
    BackendRequest& request, Millis timeout, std::string_view echoHeader)
{
    ExchangeResult result;
    ++m_exchanges;
    recordRequest(echoHeader.empty() ? std::string_view() : std::string_view(request[echoHeader]), timeout);
    m_reusable = false; // until a complete response is received
    m_stream.expires_after(timeout);
    result.sent = true;
    const auto [writeError, bytesWritten] = co_await http::async_write(m_stream, request, token);
    // A server may reject a long request before reading all of it and close the connection. Its response may then be
    // readable although writing the body failed.
    beast::error_code error = writeError == beast::error::timeout ? writeError : beast::error_code {};
    const bool toHead = request.method() == http::verb::head;
    constexpr int maxStaleResponses = 3; // more than a server has left over from earlier requests
    for (int i = 0; !error && i <= maxStaleResponses; ++i) {
        const ReadResult read = co_await readResponse(m_stream, m_buffer, toHead, {}, m_memory.get(), result.response);
        error = read.error;
        if (!error && read.untilClose && hidesReset(writeError))
            error = http::error::partial_message;
        result.bound = read.bound;
        if (error || echoHeader.empty())
            break;
        const std::string_view echo = result.response[echoHeader];
        if (echo.empty() || echo == std::string_view(request[echoHeader]))
            break;
        ++result.staleResponses;
        if (i == maxStaleResponses)
            error = http::error::bad_value;
    }
    if (error) {
        result.error = responseErrorKind(error);
        result.incomplete = true;
        resetConnection(m_stream);
        co_return result;
    }
    m_serverIdleTimeout = keepAliveTimeoutOf(result.response);
    // Bytes after the response belong to no request, so the connection is not reused.
    m_reusable = result.response.keep_alive() && !m_buffer.size() && !result.staleResponses && !writeError;
    co_return result;
}

// --- Slots

ServerPool::ServerPool(asio::any_io_executor executor, const Clock& clock, ServerResource server,
    MonitorOptions monitor, std::shared_ptr<ResponseMemory> memory, std::unique_ptr<SlotQueue> admission,
    Millis maxIdleNonIdempotent)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_server(std::move(server))
    , m_monitor(monitor)
    , m_memory(std::move(memory))
    , m_admission(std::move(admission))
    , m_maxIdleNonIdempotent(maxIdleNonIdempotent)
{
}

void ServerPool::update(const ServerResource& server, size_t hosts)
{
    if (server.address != m_server.address || server.port != m_server.port)
        closeIdleConnections();
    m_server = server;
    const size_t hostCount = std::max<size_t>(1, hosts);
    m_maxConnections = std::max<size_t>(1, server.connections / hostCount);
    const size_t share = (size_t(server.slots) * slotOvercommitFactor + hostCount - 1) / hostCount;
    m_admission->setLimit(static_cast<unsigned>(std::min(m_maxConnections, share)));
    admitQueued();
}

void ServerPool::setLimit(double limit)
{
    m_admission->setLimit(std::min(static_cast<double>(m_maxConnections), limit));
    admitQueued();
}

void ServerPool::setPermits(std::optional<unsigned> permits, Millis pause)
{
    m_admission->setPermits(permits, pause, m_clock.now());
    notifyShed();
    admitQueued();
}

asio::awaitable<ServerPool::AdmitResult> ServerPool::admit(PriorityClass priority, Instant arrived, Instant deadline)
{
    SlotRequest request;
    request.priority = priority;
    request.arrived = arrived;
    request.deadline = deadline;
    co_return co_await admit(request);
}

asio::awaitable<ServerPool::AdmitResult> ServerPool::admit(SlotRequest request)
{
    const TicketId ticket = m_nextTicket++;
    request.ticket = ticket;
    const Instant now = m_clock.now();
    const SlotQueue::Verdict verdict = m_admission->requestSlot(request, now);
    notifyShed();
    switch (verdict) {
    case SlotQueue::Verdict::Started:
        co_return AdmitResult::Admitted;
    case SlotQueue::Verdict::Refused:
        co_return AdmitResult::Refused;
    case SlotQueue::Verdict::Queued:
        break;
    }
    Waiter waiter { Signal(m_executor) };
    m_waiters.emplace(ticket, &waiter);
    const Instant latestStart = m_admission->latestStart(request);
    for (Instant time = now; !waiter.admitted && !waiter.evicted && !waiter.shed && time < latestStart;
         time = m_clock.now()) {
        co_await waiter.signal.wait(std::min(latestStart, m_admission->nextStart(time)) - time);
        admitQueued();
    }
    m_waiters.erase(ticket);
    if (waiter.admitted)
        co_return AdmitResult::Admitted;
    m_admission->withdraw(ticket);
    if (waiter.shed && !waiter.evicted)
        co_return AdmitResult::Refused; // a request that was also evicted may be served by another server
    co_return waiter.evicted ? AdmitResult::Evicted : AdmitResult::TimedOut;
}

void ServerPool::notifyShed()
{
    for (const TicketId ticket : m_admission->takeShed()) {
        Waiter& waiter = *m_waiters.at(ticket);
        waiter.shed = true;
        waiter.signal.notifyAll();
    }
}

void ServerPool::evictQueue()
{
    for (auto& [ticket, waiter] : m_waiters) {
        waiter->evicted = true;
        waiter->signal.notifyAll();
    }
}

void ServerPool::release(PriorityClass priority, Millis took)
{
    m_admission->releaseSlot(priority, took, m_clock.now());
    admitQueued();
}

void ServerPool::admitQueued()
{
    while (const auto ticket = m_admission->startNext(m_clock.now())) {
        const auto found = m_waiters.find(*ticket);
        found->second->admitted = true;
        found->second->signal.notifyAll();
    }
}

// --- Connections

// A device on the network path may have dropped the state of an idle connection. A request sent over it would be lost,
// and the host could not tell whether the request ran. A new connection costs about 1 ms.
bool ServerPool::usable(const BackendConnection& connection, bool idempotent, Instant now) const
{
    const Millis idle = now - connection.lastResponseAt;
    const bool closesSoon
        = connection.serverIdleTimeout() != Millis::max() && idle + idleTimeoutMargin >= connection.serverIdleTimeout();
    return (idempotent || idle <= m_maxIdleNonIdempotent) && !closesSoon;
}

bool ServerPool::hasConnection(Instant now) const
{
    return !m_idleConnections.empty() && usable(*m_idleConnections.back(), false, now);
}

ConnectionPointer ServerPool::takeIdleConnection(bool idempotent, std::string_view echoed)
{
    const Instant now = m_clock.now();
    for (size_t i = m_idleConnections.size(); i-- > 0;) {
        if (m_idleConnections[i]->hasCarried(echoed))
            continue; // other requests can use it
        ConnectionPointer connection = std::move(m_idleConnections[i]);
        m_idleConnections.erase(m_idleConnections.begin() + static_cast<std::ptrdiff_t>(i));
        if (usable(*connection, idempotent, now) && !connection->hasUnsolicitedInput())
            return connection;
    }
    return nullptr;
}

asio::awaitable<ConnectionPointer> ServerPool::acquireConnection(
    bool idempotent, Millis timeout, std::string_view echoed)
{
    if (ConnectionPointer connection = takeIdleConnection(idempotent, echoed))
        co_return connection;
    co_return co_await connect(timeout);
}

asio::awaitable<ConnectionPointer> ServerPool::connect(Millis timeout)
{
    auto connection = std::make_unique<BackendConnection>(m_executor, m_clock, m_memory);
    if (!co_await connection->connect(m_server, timeout))
        co_return nullptr;
    co_return connection;
}

void ServerPool::returnConnection(ConnectionPointer connection)
{
    connection->lastResponseAt = m_clock.now();
    if (connection->reusable() && m_idleConnections.size() < m_maxConnections)
        m_idleConnections.push_back(std::move(connection));
}

asio::awaitable<bool> ServerPool::tryConnect(Millis timeout)
{
    auto connection = co_await connect(timeout);
    const bool connected = connection != nullptr;
    if (connected)
        returnConnection(std::move(connection));
    co_return connected;
}

void ServerPool::closeIdleConnections() { m_idleConnections.clear(); }

}
