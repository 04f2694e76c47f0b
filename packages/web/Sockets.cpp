#include "web/Sockets.h"

#include "web/Signal.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cumindale {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr Millis acceptRetryDelay { 20 };

    // Returns 1 if a byte can be read, 0 at the end of the stream or after an error, -1 if there is nothing to read.
    ssize_t peek(boost::beast::tcp_stream& stream)
    {
        char byte = 0;
        const ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool wouldBlock = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        return received < 0 && !wouldBlock ? 0 : received;
    }

    void disableNagle(tcp::socket& socket)
    {
        boost::system::error_code ignored; // the peer may have closed the connection already
        socket.set_option(tcp::no_delay(true), ignored);
    }

    // Otherwise a request that was abandoned during a network partition would be delivered when the partition heals,
    // seconds later: a server would take an old grant for a new one. The option is set right after connecting, not when
    // a connection is abandoned, because a stream closes its socket by itself when its timeout expires.
    void setResetOnClose(tcp::socket& socket)
    {
        boost::system::error_code ignored; // the peer may have closed the connection already
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }

    // Keep-alive probes close a connection with a dead network path after about three seconds (tcp(7), TCP_KEEPIDLE and
    // following). Without probes, the failure would only be detected by losing a request.
    void enableKeepAliveProbes(tcp::socket& socket)
    {
        using Seconds = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
        using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
        constexpr int idleSeconds = 1;
        constexpr int intervalSeconds = 1;
        constexpr int probes = 2;
        boost::system::error_code ignored; // without probes, request timeouts still apply
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
        socket.set_option(Seconds(idleSeconds), ignored);
        socket.set_option(Interval(intervalSeconds), ignored);
        socket.set_option(Count(probes), ignored);
    }

}

asio::awaitable<bool> connectTo(boost::beast::tcp_stream& stream, std::string address, uint16_t port, Millis timeout)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    stream.expires_after(timeout);
    const auto [error] = co_await stream.async_connect(endpoint, token);
    if (!error) {
        disableNagle(stream.socket());
        setResetOnClose(stream.socket());
        enableKeepAliveProbes(stream.socket());
    }
    co_return !error;
}

asio::awaitable<std::optional<tcp::socket>> acceptFrom(tcp::acceptor& acceptor)
{
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(token);
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            co_return std::nullopt;
        if (!error) {
            disableNagle(socket);
            co_return std::move(socket);
        }
        // Most likely out of file descriptors: an immediate retry would keep a core busy until some are free.
        co_await sleepFor(acceptRetryDelay);
    }
}

void resetConnection(boost::beast::tcp_stream& stream)
{
    boost::system::error_code ignored; // the socket may be closed already
    stream.socket().close(ignored);
}

size_t unacknowledgedBytes(boost::beast::tcp_stream& stream)
{
    int bytes = 0;
    return ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0 ? static_cast<size_t>(bytes) : 0;
}

size_t unreadBytes(boost::beast::tcp_stream& stream)
{
    boost::system::error_code ignored; // the connection has failed: nothing to read
    return stream.socket().available(ignored);
}

asio::awaitable<bool> discardInput(boost::beast::tcp_stream& stream, size_t mostBytes, const bool& stopped)
{
    constexpr size_t chunkBytes = 4'096;
    std::array<char, chunkBytes> chunk;
    size_t discarded = 0;
    while (!stopped && discarded < mostBytes) {
        const auto [error, bytesRead] = co_await stream.async_read_some(asio::buffer(chunk), token);
        if (error)
            co_return error != asio::error::operation_aborted&& error != boost::beast::error::timeout;
        discarded += bytesRead;
    }
    co_return false;
}

bool isReadable(boost::beast::tcp_stream& stream) { return peek(stream) >= 0; }

bool isClosedByPeer(boost::beast::tcp_stream& stream) { return peek(stream) == 0; }

}
