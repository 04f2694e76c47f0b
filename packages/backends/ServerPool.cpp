#include "backends/ServerPool.h"

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
    constexpr uint64_t largestAnswer = 64'000'000; // bytes; a larger one is a bad answer
    constexpr uint32_t largestAnswerHeader = 64 * 1024;
    constexpr Millis trustIdle { 1000 }; // a non-idempotent request goes only over a connection that answered so lately
    constexpr unsigned slotsOvercommit
        = 1; // all hosts together may have this many times the slots in flight, each rounded up

}

// --- One connection

BackendConnection::BackendConnection(asio::any_io_executor executor)
    : m_stream(std::move(executor))
{
}

asio::awaitable<bool> BackendConnection::connect(const ServerResource& server, Millis timeout)
{
    m_reusable = co_await connectTo(m_stream, server.address, server.port, timeout);
    co_return m_reusable;
}

bool BackendConnection::hasUnasked() { return hasInput(m_stream); }

asio::awaitable<ExchangeResult> BackendConnection::exchange(BackendRequest& request, Millis timeout)
{
    ExchangeResult result;
    m_reusable = false; // until a whole answer came
    m_stream.expires_after(timeout);
    result.sent = true;
    const auto [writeError, written] = co_await http::async_write(m_stream, request, token);
    if (writeError) {
        result.error = writeError == beast::error::timeout ? ErrorKind::DeadlineAfterSend : ErrorKind::ConnectionLost;
        result.ended = true;
        co_return result;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(largestAnswer);
    parser.header_limit(largestAnswerHeader);
    if (request.method() == http::verb::head)
        parser.skip(true);
    const auto [readError, got] = co_await http::async_read(m_stream, m_buffer, parser, token);
    if (readError) {
        const bool lost = readError == http::error::end_of_stream || readError == http::error::partial_message
            || readError.category() == asio::error::get_system_category();
        result.error = readError == beast::error::timeout ? ErrorKind::DeadlineAfterSend
            : lost                                        ? ErrorKind::ConnectionLost
                                                          : ErrorKind::BadAnswer;
        result.ended = true;
        beast::error_code ignored;
        m_stream.socket().close(ignored);
        co_return result;
    }
    result.response = parser.release();
    // Bytes after the answer belong to no request: such a connection can't be trusted again.
    m_reusable = result.response.keep_alive() && !m_buffer.size();
    co_return result;
}

// --- Slots

ServerPool::ServerPool(asio::any_io_executor executor, const Clock& clock, ServerResource server, WatchOptions watch)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_server(std::move(server))
    , m_watch(watch)
    , m_admission(AdmissionOptions {})
{
}

void ServerPool::update(const ServerResource& server, size_t hosts)
{
    if (server.address != m_server.address || server.port != m_server.port)
        dropIdle();
    m_server = server;
    const size_t sharers = std::max<size_t>(1, hosts);
    m_mostIdle = std::max<size_t>(1, server.connections / sharers);
    const size_t share = (size_t(server.slots) * slotsOvercommit + sharers - 1) / sharers;
    m_admission.setLimit(static_cast<unsigned>(std::min(m_mostIdle, share)));
    startWaiting();
}

asio::awaitable<ServerPool::Admitted> ServerPool::admit(PriorityClass priority, Instant arrived, Instant deadline)
{
    const TicketId ticket = m_nextTicket++;
    const Instant now = m_clock.now();
    switch (m_admission.ask(ticket, priority, arrived, now, deadline)) {
    case Admission::Verdict::Started:
        co_return Admitted::Yes;
    case Admission::Verdict::Refused:
        co_return Admitted::Refused;
    case Admission::Verdict::Queued:
        break;
    }
    Waiting waiting { Signal(m_executor) };
    m_waiting.emplace(ticket, &waiting);
    co_await waiting.signal.wait(deadline - now);
    m_waiting.erase(ticket);
    if (waiting.admitted)
        co_return Admitted::Yes;
    m_admission.withdraw(ticket);
    co_return waiting.evicted ? Admitted::Evicted : Admitted::TimedOut;
}

void ServerPool::evictQueue()
{
    for (auto& [ticket, waiting] : m_waiting) {
        waiting->evicted = true;
        waiting->signal.notifyAll();
    }
}

void ServerPool::release(PriorityClass priority, Millis took)
{
    m_admission.finished(priority, took);
    startWaiting();
}

void ServerPool::startWaiting()
{
    while (const auto ticket = m_admission.startNext()) {
        const auto found = m_waiting.find(*ticket);
        found->second->admitted = true;
        found->second->signal.notifyAll();
    }
}

// --- Connections

asio::awaitable<ConnectionPointer> ServerPool::take(bool idempotent, Millis timeout)
{
    const Instant now = m_clock.now();
    while (!m_idle.empty()) {
        ConnectionPointer connection = std::move(m_idle.back());
        m_idle.pop_back();
        // Something between the two ends may have lost track of an idle connection: what is sent over it would
        // go nowhere, and nobody could say whether it ran. A fresh connection costs about 1 ms.
        const bool trusted = idempotent || now - connection->lastAnswer <= trustIdle;
        if (trusted && !connection->hasUnasked())
            co_return connection;
    }
    auto connection = std::make_unique<BackendConnection>(m_executor);
    if (!co_await connection->connect(m_server, timeout))
        co_return nullptr;
    co_return connection;
}

void ServerPool::giveBack(ConnectionPointer connection)
{
    connection->lastAnswer = m_clock.now();
    if (connection->reusable() && m_idle.size() < m_mostIdle)
        m_idle.push_back(std::move(connection));
}

void ServerPool::dropIdle() { m_idle.clear(); }

}
