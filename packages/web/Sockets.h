// TCP helpers for all peer connections: connect with a timeout, accept with retry, and check an idle connection.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace cumindale {

// Connects, and configures the socket to discard unsent data and send RST however it is closed: a request that timed
// out must not stay in a socket buffer during a network partition and arrive after its response has ceased to matter.
boost::asio::awaitable<bool> connectTo(boost::beast::tcp_stream&, std::string address, uint16_t port, Millis timeout);

// Returns the next connection, or nullopt once the acceptor is closed. Retries after a delay on other errors.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>> acceptFrom(boost::asio::ip::tcp::acceptor&);

// Closes a connection made by connectTo() immediately (RST).
void resetConnection(boost::beast::tcp_stream&);

// For idle connections, on which no input is expected.
bool isReadable(boost::beast::tcp_stream&); // the peer closed the connection or sent unexpected bytes
bool isClosedByPeer(boost::beast::tcp_stream&); // the peer closed the connection, or the connection failed

}
