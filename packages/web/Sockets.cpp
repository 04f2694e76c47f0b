#include "web/Sockets.h"

#include "web/Signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace cumindale {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr Millis afterAcceptError { 20 };

    // Bytes waiting (at most 1), 0 at an end, -1 if there is nothing to read.
    ssize_t peek(boost::beast::tcp_stream& stream)
    {
        char byte = 0;
        return ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    }

    void sendAtOnce(tcp::socket& socket)
    {
        boost::system::error_code ignored; // the other side may have gone already
        socket.set_option(tcp::no_delay(true), ignored);
    }

}

asio::awaitable<bool> connectTo(boost::beast::tcp_stream& stream, std::string address, uint16_t port, Millis timeout)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    stream.expires_after(timeout);
    const auto [error] = co_await stream.async_connect(endpoint, token);
    if (!error)
        sendAtOnce(stream.socket());
    co_return !error;
}

asio::awaitable<std::optional<tcp::socket>> acceptFrom(tcp::acceptor& acceptor)
{
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(token);
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            co_return std::nullopt;
        if (!error) {
            sendAtOnce(socket);
            co_return std::move(socket);
        }
        // Out of file descriptors, most likely: asking again at once would keep a core busy until some are free.
        co_await sleepFor(afterAcceptError);
    }
}

void resetConnection(boost::beast::tcp_stream& stream)
{
    boost::system::error_code ignored; // it may be closed already
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.socket().close(ignored);
}

bool hasInput(boost::beast::tcp_stream& stream) { return peek(stream) >= 0; }

bool hasEnded(boost::beast::tcp_stream& stream) { return peek(stream) == 0; }

}
