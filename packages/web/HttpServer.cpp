#include "web/HttpServer.h"

#include "web/HeadReader.h"
#include "web/ResponseMemory.h"
#include "web/Sockets.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/params_view.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <list>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr uint64_t maxControlBodyBytes = 64'000'000;
    constexpr uint32_t maxControlHeaderBytes = 64 * 1024;
    constexpr size_t maxControlTrailerBytes = 4'096;
    constexpr Millis idleTimeout { 120'000 };
    constexpr Millis lingerTimeout { 1'000 }; // for the peer to read the last response and close its end

}

struct HttpServer::Shared {
    tcp::acceptor acceptor;
    Handler handler;
    size_t maxConnections;
    ResponseMemory memory; // of requests
    std::list<beast::tcp_stream*> open {}; // in the order of their acceptance
};

namespace {

    using OpenConnections = std::list<beast::tcp_stream*>;
    using RequestParser = http::request_parser<http::string_body>;

    // Lists a connection among the open ones for the lifetime of this object.
    class OpenConnection {
    public:
        OpenConnection(OpenConnections& open, beast::tcp_stream& stream)
            : m_open(open)
            , m_place(m_open.insert(m_open.end(), &stream))
        {
        }
        ~OpenConnection() { m_open.erase(m_place); }
        OpenConnection(const OpenConnection&) = delete;
        OpenConnection& operator=(const OpenConnection&) = delete;

    private:
        OpenConnections& m_open;
        OpenConnections::iterator m_place;
    };

    // False: the connection has failed, or the request is malformed or takes too much memory.
    asio::awaitable<bool> readRequest(
        ResponseMemory::Reader& memory, beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser)
    {
        parser.body_limit(maxControlBodyBytes);
        parser.header_limit(maxControlHeaderBytes);
        const auto checkPart = [&](size_t bytes) -> beast::error_code {
            if (memory.grow(buffer.capacity() + mostMemoryOfFields(bytes)))
                return {};
            return asio::error::no_memory;
        };
        const beast::error_code headError = co_await readHead(stream, buffer, parser, maxControlHeaderBytes, checkPart);
        if (headError)
            co_return false;
        const size_t headMemory = memoryOfFields(parser.get().base());
        // The fields of a trailer become part of the head.
        auto checkTrailer = [&buffer](uint64_t chunkBytes, std::string_view extensions, beast::error_code& error) {
            if (!chunkBytes && trailerAfter(extensions, buffer).size() > maxControlTrailerBytes)
                error = http::error::header_limit;
        };
        parser.on_chunk_header(checkTrailer);
        const std::string& body = parser.get().body();
        // While the body grows, its old and its new storage exist.
        while (memory.grow(buffer.capacity() + headMemory + 3 * body.capacity())) {
            if (parser.is_done())
                co_return true;
            const auto [error, bytesRead] = co_await http::async_read_some(stream, buffer, parser, token);
            if (error || memory.isCutOff())
                co_return false;
        }
        co_return false;
    }

    // `owner` keeps the referenced objects alive after the HttpServer has been destroyed.
    asio::awaitable<void> serveConnection([[maybe_unused]] std::shared_ptr<void> owner, tcp::socket socket,
        HttpServer::Handler handler, OpenConnections& open, ResponseMemory& memory)
    {
        beast::tcp_stream stream(std::move(socket));
        const OpenConnection openConnection(open, stream);
        beast::flat_buffer buffer(maxControlHeaderBytes + maxControlTrailerBytes);
        for (;;) {
            RequestParser parser;
            ResponseMemory::Reader held(memory, [&stream] { resetConnection(stream); });
            stream.expires_after(idleTimeout);
            const bool complete = co_await readRequest(held, stream, buffer, parser);
            if (!complete)
                co_return;
            stream.expires_never();
            auto response = co_await handler(parser.get(), stream);
            if (!response)
                co_return;
            response->keep_alive(parser.get().keep_alive());
            stream.expires_after(idleTimeout);
            const auto [writeError, sent] = co_await http::async_write(stream, *response, token);
            if (writeError)
                co_return;
            if (!response->keep_alive()) {
                boost::system::error_code ignored; // the peer may have closed the connection already
                stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                stream.expires_after(lingerTimeout);
                constexpr bool stopped = false;
                co_await discardInput(stream, maxControlHeaderBytes, stopped);
                co_return;
            }
        }
    }

    asio::awaitable<void> acceptConnections(std::shared_ptr<void> owner, tcp::acceptor& acceptor,
        HttpServer::Handler& handler, OpenConnections& open, size_t maxConnections, ResponseMemory& memory)
    {
        for (;;) {
            auto socket = co_await acceptFrom(acceptor);
            if (!socket)
                co_return;
            if (open.size() >= maxConnections) {
                resetConnection(*open.front());
                open.splice(open.end(), open, open.begin()); // it ends in its turn
            }
            asio::co_spawn(acceptor.get_executor(), serveConnection(owner, std::move(*socket), handler, open, memory),
                asio::detached);
        }
    }

}

ServedResponse makeResponse(unsigned status, std::string body, std::string_view contentType)
{
    ServedResponse response { http::int_to_status(status), 11 };
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

std::string Target::parameter(std::string_view name) const
{
    for (const auto& [key, value] : query) {
        if (key == name)
            return value;
    }
    return {};
}

Target parseTarget(std::string_view text)
{
    Target target;
    const auto parsed = boost::urls::parse_origin_form(text);
    if (!parsed)
        return target;
    target.path = parsed->path();
    for (const auto& parameter : parsed->params())
        target.query.emplace_back(parameter.key, parameter.value);
    return target;
}

HttpServer::HttpServer(
    asio::any_io_executor executor, std::string address, uint16_t port, Handler handler, HttpServerLimits limits)
    : m_shared(new Shared { tcp::acceptor(executor, { asio::ip::make_address(address), port }), std::move(handler),
        limits.connections, ResponseMemory(limits.memory) })
{
    asio::co_spawn(executor,
        acceptConnections(m_shared, m_shared->acceptor, m_shared->handler, m_shared->open, m_shared->maxConnections,
            m_shared->memory),
        asio::detached);
}

HttpServer::~HttpServer() { stop(); }

uint16_t HttpServer::port() const { return m_shared->acceptor.local_endpoint().port(); }

void HttpServer::stop()
{
    boost::system::error_code ignored;
    m_shared->acceptor.close(ignored);
}

void HttpServer::closeConnections()
{
    boost::system::error_code ignored;
    for (auto* stream : m_shared->open)
        stream->socket().close(ignored);
}

}
