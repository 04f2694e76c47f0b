// What every peer's connection needs: connecting and accepting within bounds, and looking at an idle connection.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace cumindale {

// However the connection is closed later, bytes still on their way are dropped (RST): after a timeout a request must
// not linger in a socket buffer behind a cut path, and arrive when its answer no longer matters.
boost::asio::awaitable<bool> connectTo(boost::beast::tcp_stream&, std::string address, uint16_t port, Millis timeout);

// The next connection; nothing once the acceptor is closed. Other errors are waited out.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>> acceptFrom(boost::asio::ip::tcp::acceptor&);

// Closes a connection made by connectTo() at once.
void resetConnection(boost::beast::tcp_stream&);

// Of a connection on which nothing is expected.
bool hasInput(boost::beast::tcp_stream&); // an end, or bytes that nobody asked for
bool hasEnded(boost::beast::tcp_stream&); // the other side has closed it

}
