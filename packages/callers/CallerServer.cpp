#include "callers/CallerServer.h"

#include "base/Log.h"
#include "web/Signal.h"
#include "web/Sockets.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <list>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr std::string_view healthPath = "/cumindale/health";
    constexpr Instant noDeadline = Instant::max();
    constexpr Millis sessionCheckInterval { 50 };
    constexpr Millis responseTimeout { 60'000 }; // for a caller to receive its complete response
    constexpr size_t readChunkBytes = 4'096;
    // Memory reserved ahead of the bytes received, for a body of unknown length.
    constexpr uint64_t chunkedReservationBytes = 1'000'000;

    using Parser = http::request_parser<http::string_body>;

    ErrorKind readErrorKind(beast::error_code error)
    {
        if (error == http::error::header_limit)
            return ErrorKind::HeadersTooLarge;
        if (error == http::error::body_limit)
            return ErrorKind::BodyTooLarge;
        return ErrorKind::BadRequest;
    }

    // Whether the request is malformed or too large while the connection still works, so that the caller can receive an
    // error response.
    bool isParseError(beast::error_code error)
    {
        return error.category() == make_error_code(http::error::bad_method).category();
    }

    // Whether another parser on the path could interpret the message framing differently (request smuggling). Beast
    // itself rejects two Content-Length headers, and Content-Length together with chunked encoding.
    bool hasAmbiguousFraming(const CallerHeader& header)
    {
        const auto encodings = header.equal_range(http::field::transfer_encoding);
        for (auto it = encodings.first; it != encodings.second; ++it) {
            if (!beast::iequals(it->value(), "chunked"))
                return true;
        }
        return std::distance(encodings.first, encodings.second) > 1;
    }

}

namespace {

    // Reserves memory for one body and releases it on destruction.
    class BodyReservation {
    public:
        explicit BodyReservation(size_t& used)
            : m_used(used)
        {
        }
        ~BodyReservation() { m_used -= m_reserved; }
        BodyReservation(const BodyReservation&) = delete;
        BodyReservation& operator=(const BodyReservation&) = delete;

        bool reserve(size_t bytes, size_t limit)
        {
            if (bytes <= m_reserved)
                return true;
            if (m_used + (bytes - m_reserved) > limit)
                return false;
            m_used += bytes - m_reserved;
            m_reserved = bytes;
            return true;
        }

    private:
        size_t& m_used;
        size_t m_reserved = 0;
    };

    CallerResponse healthResponse(bool ready)
    {
        CallerResponse response { ready ? http::status::ok : http::status::service_unavailable, 11 };
        response.body() = ready ? "ok\n" : "leaving\n";
        return response;
    }

}

struct CallerServer::Shared {
    struct Session {
        beast::tcp_stream stream;
        Instant lastActivity {}; // when the connection was opened, or last became busy or idle
        Instant deadline = noDeadline; // of the operation in progress
        bool timedOut = false;
        CallerConnection* activeCaller = nullptr; // not null while the handler processes a request
        bool busy = false; // a request has begun and its response is not completely written
        std::string address {}; // the caller's IP address
    };

    tcp::acceptor acceptor;
    const Clock& clock;
    CallerLimits limits;
    RequestHandler& handler;
    Counter& requests;
    Counter& refusedConnections;
    Counter& bodyBytes;
    std::list<Session> sessions;
    size_t bodyMemoryUsed = 0;
    bool draining = false;

    void setTimeout(Session& session, Millis timeout)
    {
        session.deadline = clock.now() + timeout;
        session.timedOut = false;
    }

    void setBusy(Session& session, bool busy)
    {
        if (session.busy == busy)
            return;
        session.busy = busy;
        session.lastActivity = clock.now();
    }

    static asio::awaitable<void> acceptCallers(std::shared_ptr<Shared>);
    static asio::awaitable<void> monitorSessions(std::shared_ptr<Shared>);
    static asio::awaitable<void> serveConnection(std::shared_ptr<Shared>, std::list<Session>::iterator);
    // Each of these returns false if the connection has ended or must be closed.
    static asio::awaitable<bool> serveRequest(Shared&, Session&, beast::flat_buffer&);
    static asio::awaitable<bool> waitForRequest(Shared&, Session&, beast::flat_buffer&);
    static asio::awaitable<bool> sendContinue(Session&);
    static asio::awaitable<bool> refuse(Shared&, Session&, Parser&, ErrorKind);
    static asio::awaitable<bool> writeResponse(Shared&, Session&, CallerResponse&, bool keepAlive);

    // These return the error of the request. ConnectionLost: no response can be sent.
    static asio::awaitable<ErrorKind> readHeader(Shared&, Session&, beast::flat_buffer&, Parser&);
    static ErrorKind admit(Shared&, Parser&);
    static asio::awaitable<ErrorKind> readBody(Shared&, Session&, beast::flat_buffer&, Parser&, BodyReservation&);
};

// Reads the body in chunks and checks the memory limit and the timeout for each.
asio::awaitable<ErrorKind> CallerServer::Shared::readBody(
    Shared& shared, Session& session, beast::flat_buffer& buffer, Parser& parser, BodyReservation& reservation)
{
    const auto length = parser.content_length();
    if (!reservation.reserve(length ? *length : 0, shared.limits.bodyMemory))
        co_return ErrorKind::MemoryBudget;
    while (!parser.is_done()) {
        if (!length
            && !reservation.reserve(parser.get().body().size() + chunkedReservationBytes, shared.limits.bodyMemory))
            co_return ErrorKind::MemoryBudget;
        shared.setTimeout(session, shared.limits.bodyIdleTimeout);
        const auto [error, bytesRead] = co_await http::async_read_some(session.stream, buffer, parser, token);
        if (error)
            co_return session.timedOut ? ErrorKind::RequestTimeout
                : isParseError(error)  ? readErrorKind(error)
                                       : ErrorKind::ConnectionLost;
    }
    shared.bodyBytes.add(parser.get().body().size());
    co_return ErrorKind::None;
}

// Writes a response; false if the connection must be closed after it.
asio::awaitable<bool> CallerServer::Shared::writeResponse(
    Shared& shared, Session& session, CallerResponse& response, bool keepAlive)
{
    response.keep_alive(keepAlive && !shared.draining);
    response.prepare_payload();
    shared.setTimeout(session, responseTimeout);
    const auto [error, sent] = co_await http::async_write(session.stream, response, token);
    co_return !error && response.keep_alive();
}

asio::awaitable<bool> CallerServer::Shared::waitForRequest(Shared& shared, Session& session, beast::flat_buffer& buffer)
{
    if (buffer.size())
        co_return true; // received together with the previous request
    shared.setTimeout(session, shared.limits.idleTimeout);
    const auto [error, bytesRead] = co_await session.stream.async_read_some(buffer.prepare(readChunkBytes), token);
    buffer.commit(bytesRead);
    co_return !error;
}

asio::awaitable<ErrorKind> CallerServer::Shared::readHeader(
    Shared& shared, Session& session, beast::flat_buffer& buffer, Parser& parser)
{
    parser.header_limit(static_cast<uint32_t>(shared.limits.headerBytes));
    shared.setTimeout(session, shared.limits.headerTimeout);
    const auto [error, bytesRead] = co_await http::async_read_header(session.stream, buffer, parser, token);
    if (!error)
        co_return ErrorKind::None;
    if (session.timedOut)
        co_return ErrorKind::RequestTimeout;
    co_return isParseError(error) ? readErrorKind(error) : ErrorKind::ConnectionLost;
}

// Decides from the header alone whether to read the body.
ErrorKind CallerServer::Shared::admit(Shared& shared, Parser& parser)
{
    const BodyPolicy policy = shared.handler.bodyPolicy(parser.get().base());
    if (policy.error != ErrorKind::None)
        return policy.error;
    if (hasAmbiguousFraming(parser.get().base()))
        return ErrorKind::BadRequest;
    if (parser.content_length() && *parser.content_length() > policy.maxBodyBytes)
        return ErrorKind::BodyTooLarge;
    parser.body_limit(policy.maxBodyBytes);
    return ErrorKind::None;
}

asio::awaitable<bool> CallerServer::Shared::sendContinue(Session& session)
{
    http::response<http::empty_body> continueResponse { http::status::continue_, 11 };
    const auto [error, sent] = co_await http::async_write(session.stream, continueResponse, token);
    co_return !error;
}

asio::awaitable<bool> CallerServer::Shared::refuse(Shared& shared, Session& session, Parser& parser, ErrorKind kind)
{
    // If part of the request is unread, the connection can't carry another request.
    const bool keepAlive = parser.is_done() && parser.keep_alive();
    auto response = shared.handler.errorResponse(kind);
    if (parser.get().method() == http::verb::head)
        response.body().clear();
    co_return co_await writeResponse(shared, session, response, keepAlive);
}

asio::awaitable<bool> CallerServer::Shared::serveRequest(Shared& shared, Session& session, beast::flat_buffer& buffer)
{
    if (!co_await waitForRequest(shared, session, buffer))
        co_return false;
    shared.setBusy(session, true);
    Parser parser;
    ErrorKind requestError = co_await readHeader(shared, session, buffer, parser);
    if (requestError == ErrorKind::None && parser.get().target() == healthPath) {
        auto response = healthResponse(shared.handler.ready() && !shared.draining);
        co_return co_await writeResponse(shared, session, response, parser.keep_alive() && parser.is_done());
    }
    if (requestError == ErrorKind::None)
        requestError = admit(shared, parser);
    const bool expectsContinue = beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (requestError == ErrorKind::None && expectsContinue && !co_await sendContinue(session))
        co_return false;
    BodyReservation reservation(shared.bodyMemoryUsed);
    if (requestError == ErrorKind::None)
        requestError = co_await readBody(shared, session, buffer, parser, reservation);
    if (requestError == ErrorKind::ConnectionLost)
        co_return false;
    if (requestError != ErrorKind::None)
        co_return co_await refuse(shared, session, parser, requestError);

    const bool keepAlive = parser.keep_alive();
    CallerRequest request = parser.release();
    const bool head = request.method() == http::verb::head;
    shared.requests.add();
    session.deadline = noDeadline;
    CallerConnection caller;
    caller.address = session.address;
    session.activeCaller = &caller;
    auto response = co_await shared.handler.handle(request, caller);
    session.activeCaller = nullptr;
    if (head)
        response.body().clear(); // the caller would parse a body after a HEAD response as the next response
    co_return co_await writeResponse(shared, session, response, keepAlive);
}

asio::awaitable<void> CallerServer::Shared::serveConnection(
    std::shared_ptr<Shared> shared, std::list<Session>::iterator session)
{
    beast::flat_buffer buffer;
    // If the caller has disconnected already, its address stays empty and no request is served.
    beast::error_code endpointError;
    const auto endpoint = session->stream.socket().remote_endpoint(endpointError);
    if (!endpointError)
        session->address = endpoint.address().to_string();
    try {
        while (co_await serveRequest(*shared, *session, buffer))
            shared->setBusy(*session, false);
    } catch (const std::exception& exception) {
        // Only this caller's connection is closed.
        logChange(LogLevel::Error, "session-failed", { { "why", exception.what() } });
    }
    shared->setBusy(*session, false);
    beast::error_code ignored;
    session->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    shared->sessions.erase(session);
}

// Detects disconnected callers and cancels operations whose deadline has passed. One loop checks all sessions, in place
// of a stream timeout for each: cancelling a read leaves the connection open, so that the caller still gets a 408.
asio::awaitable<void> CallerServer::Shared::monitorSessions(std::shared_ptr<Shared> shared)
{
    while (shared->acceptor.is_open() || !shared->sessions.empty()) {
        co_await sleepFor(sessionCheckInterval);
        const Instant now = shared->clock.now();
        for (auto& session : shared->sessions) {
            if (session.activeCaller && !session.activeCaller->disconnected && isClosedByPeer(session.stream)) {
                session.activeCaller->disconnected = true;
                if (session.activeCaller->onDisconnect)
                    session.activeCaller->onDisconnect();
            }
            if (now < session.deadline)
                continue;
            session.timedOut = true;
            session.deadline = noDeadline;
            session.stream.cancel();
        }
    }
}

asio::awaitable<void> CallerServer::Shared::acceptCallers(std::shared_ptr<Shared> shared)
{
    for (;;) {
        auto socket = co_await acceptFrom(shared->acceptor);
        if (!socket)
            co_return;
        if (shared->sessions.size() >= shared->limits.connections) {
            shared->refusedConnections.add();
            continue; // closes the socket: the load balancer tries another host
        }
        const auto executor = shared->acceptor.get_executor();
        shared->sessions.push_back({ beast::tcp_stream(std::move(*socket)), shared->clock.now() });
        asio::co_spawn(executor, serveConnection(shared, std::prev(shared->sessions.end())), asio::detached);
    }
}

CallerServer::CallerServer(asio::any_io_executor executor, const Clock& clock, std::string address, uint16_t port,
    CallerLimits limits, RequestHandler& handler, Metrics& metrics)
    : m_shared(new Shared { tcp::acceptor(executor, { asio::ip::make_address(address), port }), clock, limits, handler,
        metrics.counter("callers_requests"), metrics.counter("callers_refused_connections"),
        metrics.counter("callers_body_bytes") })
{
    spawnLoop(executor, "accept-callers", Shared::acceptCallers(m_shared));
    spawnLoop(executor, "overdue-callers", Shared::monitorSessions(m_shared));
}

CallerServer::~CallerServer()
{
    beast::error_code ignored;
    m_shared->acceptor.close(ignored);
}

void CallerServer::setLimits(const CallerLimits& limits) { m_shared->limits = limits; }

void CallerServer::startDraining() { m_shared->draining = true; }

void CallerServer::stopAccepting()
{
    beast::error_code ignored;
    m_shared->acceptor.close(ignored);
}

void CallerServer::closeIdle(Millis idleFor)
{
    // If a connection is closed while a request is on the way to it, the caller can't tell whether the request ran.
    // Only connections that the load balancer hasn't used for a while are closed for this reason.
    const Instant now = m_shared->clock.now();
    for (auto& session : m_shared->sessions) {
        if (!session.busy && now - session.lastActivity >= idleFor)
            session.stream.cancel();
    }
}

uint16_t CallerServer::port() const { return m_shared->acceptor.local_endpoint().port(); }

size_t CallerServer::connections() const { return m_shared->sessions.size(); }

}
