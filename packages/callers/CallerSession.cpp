#include "callers/CallerSession.h"

#include "base/Log.h"
#include "web/Sockets.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <iterator>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// Sections: connection, reading, running and writing.

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr Millis responseStallTimeout { 60'000 }; // without the caller taking any part of its response
    constexpr Millis lingerTimeout { 1'000 }; // for the caller to read the last response and close its end
    constexpr Millis progressCheckInterval { 60'000 }; // waits end earlier, by a notification
    constexpr size_t readChunkBytes = 4'096;
    constexpr size_t minDiscardedBytes = 1'000'000; // of input behind the last request
    constexpr double undeliveredLinesPerSecond = 20;
    constexpr size_t readAheadBytes = 65'536; // that one read of a body takes at most
    constexpr size_t copiedBodyBytes = 262'144; // a body of unknown length is copied as it grows, up to this size
    constexpr size_t requestBytes = 4'096; // that a request takes apart from its head and its body

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

    CallerResponse healthResponse(bool ready)
    {
        CallerResponse response { ready ? http::status::ok : http::status::service_unavailable, 11 };
        response.body() = ready ? "ok\n" : "leaving\n";
        return response;
    }

    std::string addressOf(const beast::tcp_stream& stream)
    {
        beast::error_code error;
        const auto endpoint = stream.socket().remote_endpoint(error);
        return error ? std::string() : endpoint.address().to_string(); // empty: the caller has disconnected already
    }

}

size_t memoryOfLargestRequest(size_t headerBytes, size_t bodyBytes)
{
    const size_t buffer = 2 * (headerBytes + readChunkBytes); // its storage grows by doubling
    const size_t trailer = headerBytes;
    return requestBytes + buffer + mostMemoryOfFields(headerBytes + trailer)
        + std::max(2 * copiedBodyBytes, bodyBytes + readAheadBytes);
}

CallerBudgetLimits budgetLimits(const CallerLimits& limits)
{
    return { limits.connections, limits.bodyMemory, limits.responseMemory };
}

CallerContext::CallerContext(const Clock& clockToUse, CallerLimits limitsToKeep, RequestHandler& requestHandler,
    Metrics& metrics, std::string healthPathToUse)
    : clock(clockToUse)
    , limits(limitsToKeep)
    , handler(requestHandler)
    , healthPath(std::move(healthPathToUse))
    , requests(metrics.counter("callers_requests"))
    , overlappingRequests(metrics.counter("callers_overlapping_requests"))
    , bodyBytes(metrics.counter("callers_body_bytes"))
    , slowReadersClosed(metrics.counter("callers_slow_readers_closed"))
    , closedForOthers(metrics.counter("callers_closed_for_others"))
    , requestsGivenUp(metrics.counter("callers_requests_given_up"))
    , closedUndelivered(metrics.counter("callers_closed_undelivered"))
    , undeliveredLines(1, undeliveredLinesPerSecond, undeliveredLinesPerSecond)
    , budget(budgetLimits(limits))
{
}

bool CallerContext::isHealthCheck(const CallerHeader& header) const
{
    const bool reads = header.method() == http::verb::get || header.method() == http::verb::head;
    return reads && !healthPath.empty() && header.target() == healthPath;
}

// --- Connection

CallerSession::CallerSession(std::shared_ptr<CallerContext> context, beast::tcp_stream stream)
    : m_context(std::move(context))
    , m_stream(std::move(stream))
    , m_address(addressOf(m_stream))
    , m_account(m_context->budget, *this, m_context->clock.now())
    , m_progress(m_stream.get_executor())
    , m_idleSince(m_context->clock.now())
{
}

CallerSession::~CallerSession() = default;

asio::awaitable<void> CallerSession::run()
{
    try {
        while (co_await readRequest()) { }
    } catch (const std::exception& exception) {
        // Only this caller's connection is closed.
        logChange(LogLevel::Error, "session-failed", { { "why", exception.what() } });
        m_broken = true;
    }
    m_readState = ReadState::None;
    while (!m_exchanges.empty() || m_writing)
        co_await m_progress.wait(progressCheckInterval);
    if (!m_broken && (m_closing || leavesInputUnread()))
        co_await linger();
    recordUndelivered();
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

// While a host drains, the last response may have been begun before and not say that it closes the connection, so that
// the caller sends further requests.
bool CallerSession::leavesInputUnread() { return m_buffer.size() || unreadBytes(m_stream); }

// A caller may send something behind its last request at any time. Unread, it would reset the connection on closing,
// and the reset would discard what the caller hasn't received of the last response.
asio::awaitable<void> CallerSession::linger()
{
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    shrinkBuffer();
    m_unacknowledged = unacknowledgedBytes(m_stream);
    m_lingerProgress = m_context->clock.now();
    m_account.waitIdle(m_lingerProgress);
    m_readState = ReadState::Lingering;
    // A caller inside the limits may still be sending the body of a request that was refused.
    const size_t mostBytes = std::max(m_maxBodyBytes, minDiscardedBytes) + m_context->limits.headerBytes;
    m_callerGone |= co_await discardInput(m_stream, mostBytes, m_lingerEnded);
    m_readState = ReadState::None;
}

// A caller that goes on taking its response has as much time for it as while the response is written.
void CallerSession::checkLinger(Instant now)
{
    const size_t unacknowledged = unacknowledgedBytes(m_stream);
    if (unacknowledged < m_unacknowledged)
        m_lingerProgress = now;
    m_unacknowledged = unacknowledged;
    if (now - m_lingerProgress < (unacknowledged ? responseStallTimeout : lingerTimeout))
        return;
    m_lingerEnded = true;
    m_stream.cancel();
}

void CallerSession::recordUndelivered()
{
    const size_t unacknowledged = m_broken || m_callerGone ? 0 : unacknowledgedBytes(m_stream);
    if (!unacknowledged)
        return;
    m_context->closedUndelivered.add();
    if (m_context->undeliveredLines.take(0, m_context->clock.now()))
        logChange(LogLevel::Warning, "response-undelivered",
            { { "caller", m_address }, { "unacknowledged", unacknowledged }, { "unread", unreadBytes(m_stream) },
                { "draining", m_context->draining } });
}

void CallerSession::check()
{
    const Instant now = m_context->clock.now();
    // A read in progress detects a disconnect by itself.
    const bool reading = m_readState == ReadState::Waiting || m_readState == ReadState::Request;
    if (!reading && !m_callerGone && !m_exchanges.empty() && isClosedByPeer(m_stream))
        onCallerGone();
    if (m_writing) {
        if (now - m_writeProgress >= responseStallTimeout)
            closeAsSlowReader();
        return; // cancelling a read would cancel the write too; its deadline applies once the response is written
    }
    if (m_readState == ReadState::Lingering)
        return checkLinger(now);
    if (m_readState == ReadState::None || m_readState == ReadState::Starting || now < readDeadline())
        return;
    if (m_readState == ReadState::Waiting && !isIdle())
        return;
    // The connection stays open, so that the caller of an incomplete request still gets a 408.
    m_timedOut = true;
    m_requestDeadline = Instant::max();
    m_stream.cancel();
}

Instant CallerSession::readDeadline() const
{
    if (m_readState != ReadState::Waiting)
        return m_requestDeadline;
    return m_exchanges.empty() ? m_idleSince + m_context->limits.idleTimeout : Instant::max();
}

void CallerSession::closeIfIdle(Millis idleFor)
{
    if (m_context->clock.now() - m_idleSince >= idleFor && isIdle())
        m_stream.cancel();
}

bool CallerSession::isIdle()
{
    if (m_readState != ReadState::Waiting || !m_exchanges.empty())
        return false;
    return m_context->clock.now() - m_idleSince >= responseStallTimeout || !unacknowledgedBytes(m_stream);
}

void CallerSession::closeAsSlowReader()
{
    if (m_broken)
        return;
    m_context->slowReadersClosed.add();
    abort();
}

void CallerSession::closeForOthers()
{
    (m_writing ? m_context->slowReadersClosed : m_context->closedForOthers).add();
    abort();
}

void CallerSession::abort()
{
    m_broken = true;
    m_givenUp = true;
    m_lingerEnded = true;
    // Otherwise the kernel would keep the rest of the response in memory until the caller reads it.
    beast::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.cancel();
}

void CallerSession::onCallerGone()
{
    m_callerGone = true;
    for (const auto& exchange : m_exchanges) {
        exchange->caller.disconnected = true;
        if (exchange->caller.onDisconnect)
            exchange->caller.onDisconnect();
    }
    m_progress.notifyAll();
}

// --- Reading

bool CallerSession::mayReadOn() const
{
    const CallerLimits& limits = m_context->limits;
    return m_exchanges.size() < limits.pipelinedRequests && m_unwrittenBytes < limits.connectionResponseBytes;
}

bool CallerSession::mayStart(const Exchange& exchange) const
{
    return m_exchanges.empty() || (exchange.mayOverlap && m_exchanges.back()->mayOverlap);
}

asio::awaitable<bool> CallerSession::waitForInput()
{
    while (!mayReadOn() && !stopsReading())
        co_await m_progress.wait(progressCheckInterval);
    // While draining, the last response to a request that has been read closes the connection. Callers send again what
    // follows it.
    const auto isLastRead = [this] { return m_context->draining && !m_exchanges.empty(); };
    if (stopsReading() || isLastRead())
        co_return false;
    if (m_buffer.size())
        co_return true; // received together with the previous request
    shrinkBuffer();
    m_readState = ReadState::Waiting;
    const auto [error, bytesRead] = co_await m_stream.async_read_some(m_buffer.prepare(readChunkBytes), token);
    m_readState = ReadState::None;
    m_buffer.commit(bytesRead);
    if (error && error != asio::error::operation_aborted)
        onCallerGone();
    co_return !error && !ended() && !isLastRead();
}

// A caller that goes on sending leaves no read pending that check() could cancel.
beast::error_code CallerSession::checkPartialHead(size_t bytes)
{
    if (m_timedOut || m_givenUp)
        return asio::error::operation_aborted;
    const bool held = m_account.holdRequest(m_buffer.capacity() + mostMemoryOfFields(bytes), m_context->clock.now());
    return held ? beast::error_code() : asio::error::no_memory;
}

bool CallerSession::holdRequest(size_t bodyMemory)
{
    m_bodyMemory = bodyMemory;
    return m_account.holdRequest(m_headMemory + m_buffer.capacity() + bodyMemory, m_context->clock.now());
}

// Why no memory is held: the request was given up for another one, or there is none.
ErrorKind CallerSession::memoryError() const { return m_givenUp ? ErrorKind::RequestTimeout : ErrorKind::MemoryBudget; }

// The caller gets a 408 as at the end of its time.
void CallerSession::giveUpRequest()
{
    m_context->requestsGivenUp.add();
    m_givenUp = true;
    m_requestDeadline = Instant::min();
    if (!m_writing)
        m_stream.cancel(); // otherwise check() does it, once the response is written
}

void CallerSession::shrinkBuffer()
{
    if (!m_buffer.size() && m_buffer.capacity() > readChunkBytes)
        m_buffer.shrink_to_fit();
}

asio::awaitable<ErrorKind> CallerSession::readHeader(Parser& parser)
{
    m_limitsRevision = m_context->limits.rulesRevision;
    parser.header_limit(static_cast<uint32_t>(m_context->limits.headerBytes));
    // admit() sets the limit of the service. Beast's own, 1 MiB, would refuse larger bodies by their header.
    parser.body_limit(boost::none);
    m_requestDeadline = m_context->clock.now() + m_context->limits.headerTimeout;
    m_timedOut = false;
    const size_t maxBytes = m_context->limits.headerBytes;
    m_buffer.max_size(std::max(m_buffer.size(), maxBytes) + readChunkBytes);
    const auto check = [this](size_t bytes) { return checkPartialHead(bytes); };
    const beast::error_code error = co_await readHead(m_stream, m_buffer, parser, maxBytes, check);
    if (!error) {
        m_headMemory = requestBytes + memoryOfFields(parser.get().base());
        co_return holdRequest(0) ? ErrorKind::None : memoryError();
    }
    if (m_timedOut || m_givenUp)
        co_return ErrorKind::RequestTimeout;
    if (error == asio::error::no_memory)
        co_return ErrorKind::MemoryBudget;
    co_return isParseError(error) ? sizeError(readErrorKind(error)) : ErrorKind::ConnectionLost;
}

// The handler decides whether an error is final by the document that it has now. If the limit is from an earlier one,
// nobody has compared the request with the present limit.
ErrorKind CallerSession::sizeError(ErrorKind error) const
{
    const bool outdated = m_limitsRevision != m_context->limits.rulesRevision;
    return outdated && errorInfo(error).restsOnRules ? ErrorKind::NotFresh : error;
}

// Decides from the header alone whether to read the body.
ErrorKind CallerSession::admit(Parser& parser, Exchange& exchange)
{
    m_limitsRevision = m_context->limits.rulesRevision;
    const RequestPolicy policy = m_context->handler.requestPolicy(parser.get().base());
    if (policy.error != ErrorKind::None)
        return policy.error;
    if (hasAmbiguousFraming(parser.get().base()))
        return ErrorKind::BadRequest;
    if (parser.content_length() && *parser.content_length() > policy.maxBodyBytes)
        return ErrorKind::BodyTooLarge;
    // Callers that don't read their responses must not use up the memory of the host.
    if (!m_context->budget.admitResponse(m_context->clock.now()))
        return ErrorKind::MemoryBudget;
    parser.body_limit(policy.maxBodyBytes);
    m_maxBodyBytes = policy.maxBodyBytes;
    exchange.mayOverlap = policy.mayOverlap;
    return ErrorKind::None;
}

// What a chunked body has besides its bytes counts as part of the head: otherwise a body of small chunks could come
// with extensions without end.
beast::error_code CallerSession::checkChunk(uint64_t chunkBytes, std::string_view extensions)
{
    m_framingBytes += extensions.size();
    if (!chunkBytes) {
        const size_t trailerBytes = trailerAfter(extensions, m_buffer).size();
        m_framingBytes += trailerBytes;
        m_headMemory += mostMemoryOfFields(trailerBytes);
    }
    if (m_framingBytes > m_context->limits.headerBytes)
        return http::error::header_limit;
    return chunkBytes || holdRequest(m_bodyMemory) ? beast::error_code() : asio::error::no_memory;
}

// Before a read that may take a body of unknown length to so many bytes.
bool CallerSession::growBody(std::string& body, size_t bytes)
{
    if (bytes > body.capacity()) {
        const bool held = holdRequest(body.size() + bytes); // the former storage and the new one
        if (!held)
            return false;
        // The largest allowed is reserved before a large body would be copied. What isn't filled takes no memory.
        const size_t grown = body.empty() ? bytes : bytes * 2;
        body.reserve(bytes > copiedBodyBytes ? m_maxBodyBytes + readAheadBytes : grown);
    }
    return holdRequest(bytes);
}

// Reads the body in pieces and checks the memory limit and the timeout for each.
asio::awaitable<ErrorKind> CallerSession::readBody(Parser& parser)
{
    const auto length = parser.content_length();
    if (length && !holdRequest(*length))
        co_return memoryError();
    m_framingBytes = 0;
    auto onChunk = [this](uint64_t chunkBytes, std::string_view extensions, beast::error_code& error) {
        error = checkChunk(chunkBytes, extensions);
    };
    parser.on_chunk_header(onChunk);
    while (!parser.is_done()) {
        std::string& body = parser.get().body();
        if (!length && !growBody(body, body.size() + readAheadBytes))
            co_return memoryError();
        m_requestDeadline = m_context->clock.now() + m_context->limits.bodyIdleTimeout;
        m_timedOut = false;
        const auto [error, bytesRead] = co_await http::async_read_some(m_stream, m_buffer, parser, token);
        if (m_givenUp)
            co_return ErrorKind::RequestTimeout;
        if (error == asio::error::no_memory)
            co_return ErrorKind::MemoryBudget;
        if (error)
            co_return m_timedOut      ? ErrorKind::RequestTimeout
                : isParseError(error) ? sizeError(readErrorKind(error))
                                      : ErrorKind::ConnectionLost;
        m_account.noteReceived(body.size(), m_context->clock.now());
    }
    m_context->bodyBytes.add(parser.get().body().size());
    co_return ErrorKind::None;
}

// An interim response must not come before the responses to earlier requests.
asio::awaitable<bool> CallerSession::sendContinue()
{
    while (!m_exchanges.empty() && !ended())
        co_await m_progress.wait(progressCheckInterval);
    if (ended())
        co_return false;
    http::response<http::empty_body> continueResponse { http::status::continue_, 11 };
    const auto [error, sent] = co_await http::async_write(m_stream, continueResponse, token);
    co_return !error;
}

asio::awaitable<bool> CallerSession::readRequest()
{
    const bool arrived = co_await waitForInput();
    if (!arrived)
        co_return false;
    m_readState = ReadState::Request;
    m_account.beginRequest(m_context->clock.now());
    m_givenUp = false;
    Parser parser;
    auto exchange = std::make_unique<Exchange>();
    ErrorKind requestError = co_await readHeader(parser);
    const bool healthCheck = requestError == ErrorKind::None && m_context->isHealthCheck(parser.get().base());
    if (!healthCheck && requestError == ErrorKind::None)
        requestError = admit(parser, *exchange);
    const bool expectsContinue = beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (requestError == ErrorKind::None && expectsContinue) {
        const bool sent = co_await sendContinue();
        requestError = sent ? ErrorKind::None : ErrorKind::ConnectionLost;
    }
    if (!healthCheck && requestError == ErrorKind::None)
        requestError = co_await readBody(parser);
    if (requestError == ErrorKind::ConnectionLost) {
        m_account.dropRequest();
        onCallerGone();
        co_return false;
    }
    m_readState = ReadState::Starting;
    // If part of the request is unread, the connection can't carry another request.
    const bool keepAlive = parser.is_done() && parser.keep_alive();
    exchange->keepAlive = keepAlive;
    const bool answerHere = healthCheck || requestError != ErrorKind::None;
    if (answerHere) {
        m_account.dropRequest();
        const bool head = parser.get().method() == http::verb::head;
        answer(std::move(exchange), head,
            healthCheck ? healthResponse(m_context->handler.ready() && !m_context->draining)
                        : m_context->handler.errorResponse(requestError, parser.get().base()));
    } else {
        exchange->request = parser.release();
        exchange->held.take(m_account);
        const bool started = co_await startInTurn(std::move(exchange));
        if (!started)
            co_return false;
    }
    m_readState = ReadState::None;
    co_return keepAlive;
}

// --- Running and writing

asio::awaitable<bool> CallerSession::startInTurn(std::unique_ptr<Exchange> exchange)
{
    while (!mayStart(*exchange) && !stopsReading())
        co_await m_progress.wait(progressCheckInterval);
    if (stopsReading())
        co_return false;
    m_context->requests.add();
    m_context->overlappingRequests.add(!m_exchanges.empty());
    exchange->caller.address = m_address;
    m_exchanges.push_back(std::move(exchange));
    asio::co_spawn(m_stream.get_executor(), runExchange(shared_from_this(), *m_exchanges.back()), asio::detached);
    co_return true;
}

void CallerSession::answer(std::unique_ptr<Exchange> exchange, bool head, CallerResponse response)
{
    m_exchanges.push_back(std::move(exchange));
    setResponse(*m_exchanges.back(), head, std::move(response));
    asio::co_spawn(m_stream.get_executor(), writeAnswered(shared_from_this()), asio::detached);
}

void CallerSession::setResponse(Exchange& exchange, bool head, CallerResponse response)
{
    if (head)
        response.body().clear(); // the caller would parse a body after a HEAD response as the next response
    exchange.response = std::move(response);
    exchange.answered = true;
    m_unwrittenBytes += exchange.response.body().size();
    m_account.addResponse(exchange.response.body().size(), m_context->clock.now());
}

asio::awaitable<void> CallerSession::runExchange(std::shared_ptr<CallerSession> self, Exchange& exchange)
{
    try {
        const bool head = exchange.request.method() == http::verb::head;
        CallerResponse response = co_await m_context->handler.handle(exchange.request, exchange.caller);
        setResponse(exchange, head, std::move(response));
    } catch (const std::exception& exception) {
        logChange(LogLevel::Error, "session-failed", { { "why", exception.what() } });
        exchange.answered = true;
        m_broken = true;
    }
    co_await writeAnswered(std::move(self));
}

// Writes the responses that are ready and not behind one that isn't.
asio::awaitable<void> CallerSession::writeAnswered(std::shared_ptr<CallerSession>)
{
    if (m_writing)
        co_return; // another coroutine writes, and continues with this response
    m_writing = true;
    while (!m_exchanges.empty() && m_exchanges.front()->answered) {
        Exchange& exchange = *m_exchanges.front();
        const size_t bytes = exchange.response.body().size();
        if (!ended()) {
            const bool written = co_await writeResponse(exchange);
            m_broken |= !written;
        }
        m_unwrittenBytes -= bytes;
        m_account.removeResponse(bytes);
        m_account.stopWaitingForReader();
        m_exchanges.pop_front();
        m_idleSince = m_context->clock.now();
        if (m_exchanges.empty() && (m_readState == ReadState::None || m_readState == ReadState::Waiting))
            m_account.waitIdle(m_idleSince);
        m_progress.notifyAll();
    }
    m_writing = false;
    if (ended())
        m_stream.cancel(); // ends the read in progress
}

bool CallerSession::closesAfter(const Exchange& exchange) const
{
    const bool requestBegun = m_readState == ReadState::Request || m_readState == ReadState::Starting;
    const bool last = m_exchanges.size() == 1 && !requestBegun;
    return !exchange.keepAlive || (m_context->draining && last);
}

asio::awaitable<bool> CallerSession::writeResponse(Exchange& exchange)
{
    m_closing = closesAfter(exchange);
    CallerResponse& response = exchange.response;
    response.keep_alive(!m_closing);
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    m_writeProgress = m_context->clock.now();
    m_account.waitForReader(m_writeProgress);
    while (!serializer.is_done()) {
        const auto [error, bytesWritten] = co_await http::async_write_some(m_stream, serializer, token);
        if (error)
            co_return false;
        m_writeProgress = m_context->clock.now();
    }
    co_return true;
}

}
