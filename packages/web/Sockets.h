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

// Bytes that were written and that the peer hasn't acknowledged; 0 if that can't be told.
size_t unacknowledgedBytes(boost::beast::tcp_stream&);
size_t unreadBytes(boost::beast::tcp_stream&); // that have been received
// Discards input until the peer closes the connection, until so many bytes have come or the operation is cancelled or
// times out (false), or until `stopped` is true (false): a peer that goes on sending leaves no read pending that could
// be cancelled. Closing a socket with unread input resets the connection, which discards what the peer hasn't received
// of the last response.
boost::asio::awaitable<bool> discardInput(boost::beast::tcp_stream&, size_t mostBytes, const bool& stopped);

// For idle connections, on which no input is expected.
bool isReadable(boost::beast::tcp_stream&); // the peer closed the connection or sent unexpected bytes
bool isClosedByPeer(boost::beast::tcp_stream&); // the peer closed the connection, or the connection failed

}
