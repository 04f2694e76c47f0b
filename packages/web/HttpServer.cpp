#include "web/HttpServer.h"

#include "web/HeadReader.h"
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
#include <set>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr uint64_t maxControlBodyBytes = 64'000'000;
    constexpr uint32_t maxControlHeaderBytes = 64 * 1024;
    constexpr Millis idleTimeout { 120'000 };
    constexpr Millis lingerTimeout { 1'000 }; // for the peer to read the last response and close its end

}

struct HttpServer::Shared {
    tcp::acceptor acceptor;
    Handler handler;
    std::set<beast::tcp_stream*> open {};
};

namespace {

    // Registers a connection in the set of open connections for the lifetime of this object.
    class OpenConnection {
    public:
        OpenConnection(std::set<beast::tcp_stream*>& open, beast::tcp_stream& stream)
            : m_open(open)
            , m_stream(&stream)
        {
            m_open.insert(m_stream);
        }
        ~OpenConnection() { m_open.erase(m_stream); }
        OpenConnection(const OpenConnection&) = delete;
        OpenConnection& operator=(const OpenConnection&) = delete;

    private:
        std::set<beast::tcp_stream*>& m_open;
        beast::tcp_stream* m_stream;
    };

    // `owner` keeps the referenced objects alive after the HttpServer has been destroyed.
    asio::awaitable<void> serveConnection([[maybe_unused]] std::shared_ptr<void> owner, tcp::socket socket,
        HttpServer::Handler handler, std::set<beast::tcp_stream*>& open)
    {
        beast::tcp_stream stream(std::move(socket));
        const OpenConnection openConnection(open, stream);
        beast::flat_buffer buffer(maxControlHeaderBytes + readBufferBytes);
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxControlBodyBytes);
            parser.header_limit(maxControlHeaderBytes);
            stream.expires_after(idleTimeout);
            const beast::error_code headError = co_await readHead(stream, buffer, parser, maxControlHeaderBytes);
            if (headError)
                co_return;
            const auto [readError, got] = co_await http::async_read(stream, buffer, parser, token);
            if (readError)
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
        HttpServer::Handler& handler, std::set<beast::tcp_stream*>& open)
    {
        for (;;) {
            auto socket = co_await acceptFrom(acceptor);
            if (!socket)
                co_return;
            asio::co_spawn(
                acceptor.get_executor(), serveConnection(owner, std::move(*socket), handler, open), asio::detached);
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

HttpServer::HttpServer(asio::any_io_executor executor, std::string address, uint16_t port, Handler handler)
    : m_shared(std::make_shared<Shared>(
        Shared { tcp::acceptor(executor, { asio::ip::make_address(address), port }), std::move(handler) }))
{
    asio::co_spawn(
        executor, acceptConnections(m_shared, m_shared->acceptor, m_shared->handler, m_shared->open), asio::detached);
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
