// Reads one HTTP/1.1 response from a peer that may be faulty, within bounds.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>

namespace cumindale {

using PeerResponse = boost::beast::http::response<boost::beast::http::string_body>;

struct ResponseLimits {
    uint32_t headerBytes = 64 * 1024; // of each header, interim responses' included
    uint64_t bodyBytes = 64'000'000;
    unsigned interimResponses = 8; // before the final response
};

// Interim responses (1xx, RFC 9110, section 15.2) are read past. Errors: those of the stream, and those of
// boost::beast::http for a malformed response or one beyond a limit (header_limit, body_limit; bad_status for too many
// interim responses and for 101, as no request asks for an upgrade). After an error the connection can't be used.
// `toHead`: the response is to a HEAD request and has no body. `buffer` keeps what follows the response.
boost::asio::awaitable<boost::beast::error_code> readResponse(
    boost::beast::tcp_stream&, boost::beast::flat_buffer&, bool toHead, ResponseLimits, PeerResponse&);

}
