#include "web/HttpClient.h"

#include "web/ResponseReader.h"
#include "web/Sockets.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    // Peers are a few ms away. The kernel retransmits a lost SYN only after one second (RFC 6298, section 2.1); failing
    // earlier lets the caller retry sooner, also right after a network partition has healed.
    constexpr Millis maxConnectTimeout { 300 };

    HttpReply unansweredReply()
    {
        HttpReply reply;
        reply.mayHaveArrived = true;
        return reply;
    }

    http::request<http::string_body> makeRequest(const HttpCall& call, std::string_view address)
    {
        http::request<http::string_body> request { call.verb, call.target, 11 };
        request.set(http::field::host, address);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.body() = call.body;
        request.prepare_payload();
        return request;
    }

}

std::string_view HttpReply::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

HttpClient::HttpClient(asio::any_io_executor executor, std::string address, uint16_t port, size_t maxIdleConnections,
    ResponseLimits limits)
    : m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_port(port)
    , m_maxIdleConnections(maxIdleConnections)
    , m_limits(limits)
    , m_memory(std::make_shared<ResponseMemory>(limits.clientBytes))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpClient::Stream> HttpClient::connect(Millis timeout)
{
    auto stream = std::make_unique<beast::tcp_stream>(m_executor);
    if (!co_await connectTo(*stream, m_address, m_port, std::min(timeout, maxConnectTimeout)))
        co_return nullptr;
    co_return stream;
}

HttpClient::Stream HttpClient::takeIdleConnection()
{
    while (!m_idle.empty()) {
        Stream stream = std::move(m_idle.back());
        m_idle.pop_back();
        if (!isReadable(*stream)) // input on an idle connection usually means that the peer closed it
            return stream;
    }
    return nullptr;
}

void HttpClient::returnToPool(Stream stream)
{
    if (stream && m_idle.size() < m_maxIdleConnections)
        m_idle.push_back(std::move(stream));
}

asio::awaitable<HttpReply> HttpClient::send(HttpCall call, Millis timeout)
{
    Stream stream = takeIdleConnection();
    if (!stream)
        stream = co_await connect(timeout);
    if (!stream)
        co_return HttpReply {};
    HttpReply reply = co_await exchange(stream, std::move(call), timeout);
    returnToPool(std::move(stream));
    co_return reply;
}

asio::awaitable<HttpReply> HttpClient::send(CallFactory makeCall, Millis timeout)
{
    Stream stream = takeIdleConnection();
    const bool newConnection = !stream;
    if (newConnection)
        stream = co_await connect(timeout);
    if (!stream)
        co_return HttpReply {};
    std::optional<HttpCall> call = makeCall(newConnection);
    if (!call) {
        returnToPool(std::move(stream));
        co_return HttpReply {};
    }
    HttpReply reply = co_await exchange(stream, std::move(*call), timeout);
    returnToPool(std::move(stream));
    co_return reply;
}

asio::awaitable<HttpReply> HttpClient::sendAlone(CallFactory makeCall, Millis timeout)
{
    Stream stream = co_await connect(timeout);
    if (!stream)
        co_return HttpReply {};
    constexpr bool newConnection = true;
    std::optional<HttpCall> call = makeCall(newConnection);
    if (!call)
        co_return HttpReply {};
    co_return co_await exchange(stream, std::move(*call), timeout);
}

asio::awaitable<HttpReply> HttpClient::exchange(Stream& stream, HttpCall call, Millis timeout)
{
    const auto request = makeRequest(call, m_address);
    stream->expires_after(timeout);
    const auto [writeError, written] = co_await http::async_write(*stream, request, token);
    if (writeError) {
        stream.reset();
        co_return unansweredReply();
    }
    beast::flat_buffer buffer(readBufferBytes);
    PeerResponse response;
    const bool toHead = call.verb == http::verb::head;
    const auto memory = m_memory; // the client may end before a call that is never resumed
    const ReadResult read = co_await readResponse(*stream, buffer, toHead, m_limits, memory.get(), response);
    if (read.error) {
        stream.reset();
        co_return unansweredReply();
    }

    HttpReply reply { response.result_int(), std::move(response.body()), {}, true };
    for (const auto& field : response)
        reply.headers.emplace_back(field.name_string(), field.value());
    if (!response.keep_alive() || buffer.size())
        stream.reset();
    co_return reply;
}

asio::awaitable<void> HttpClient::stream(HttpCall call, Millis connectTimeout, Millis idleTimeout, LineHandler handler)
{
    const Stream stream = co_await connect(connectTimeout);
    if (!stream)
        co_return;
    const auto request = makeRequest(call, m_address);
    const auto [writeError, written] = co_await http::async_write(*stream, request, token);
    if (writeError)
        co_return;
    beast::flat_buffer buffer(readBufferBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none); // a watch lasts: only its lines have a bound
    stream->expires_after(connectTimeout);
    const beast::error_code headError = co_await readHead(*stream, buffer, parser, m_limits.headerBytes);
    if (headError || parser.get().result() != http::status::ok)
        co_return;

    std::string& pending = parser.get().body(); // what no line has ended yet
    size_t searched = 0;
    while (!parser.is_done()) {
        stream->expires_after(idleTimeout);
        const auto [error, bytes] = co_await http::async_read_some(*stream, buffer, parser, token);
        if (error)
            co_return;
        size_t end = 0;
        while ((end = pending.find('\n', searched)) != std::string::npos) {
            if (!handler(std::string_view(pending).substr(0, end)))
                co_return;
            pending.erase(0, end + 1);
            searched = 0;
        }
        searched = pending.size();
        if (searched > m_limits.bodyBytes)
            co_return;
    }
}

}
