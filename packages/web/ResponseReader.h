// Reads one HTTP/1.1 response from a peer that may be faulty, within bounds.
#pragma once

#include "web/HeadReader.h"
#include "web/ResponseMemory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <string_view>

namespace cumindale {

using PeerResponse = boost::beast::http::response<boost::beast::http::string_body>;

struct ResponseLimits {
    uint32_t headerBytes = 65'536; // of each header, interim responses' included
    uint64_t bodyBytes = 64'000'000;
    unsigned interimResponses = 8; // before the final response
    size_t clientBytes = 64'000'000; // of all bodies that a client is reading, copies that they need to grow included
};

// For responses to orders and probes: thousands of servers may answer one host at a time.
constexpr ResponseLimits shortResponseLimits { 16'384, 65'536, 8, 196'608 };

// Which bound a response exceeded.
enum class ResponseBound : uint8_t {
    None,
    Header,
    Body,
    Memory, // of all responses that are being read; this was the largest one
    Interim, // responses before the final one
    Buffer, // a chunk's extensions or a trailer
};

std::string_view nameOf(ResponseBound);

struct ReadResult {
    boost::beast::error_code error;
    ResponseBound bound = ResponseBound::None; // with an error
    bool untilClose = false; // the response has no length: it ends where the peer closes the connection
};

// Interim responses (1xx, RFC 9110, section 15.2) are read past. Errors: those of the stream, and those of
// boost::beast::http for a malformed response, one beyond a bound, and 101, as no request asks for an upgrade. After an
// error the connection can't be used. `toHead`: the response is to a HEAD request and has no body. `buffer` keeps what
// follows the response; its limit is readBufferBytes. `memory`: counts the body while it is read, or null.
boost::asio::awaitable<ReadResult> readResponse(boost::beast::tcp_stream&, boost::beast::flat_buffer& buffer,
    bool toHead, ResponseLimits, ResponseMemory* memory, PeerResponse&);

}
