// Reads the head of an HTTP/1.1 message: its start line and its fields.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <functional>
#include <string_view>

namespace cumindale {

// Memory that the fields of a head take in the parser, apart from their text.
size_t memoryOfFields(const boost::beast::http::fields&);
// The most memory that so many bytes of fields take, with their text.
size_t mostMemoryOfFields(size_t bytes);

// Called before a further read with the bytes of the head so far. An error ends the reading.
using PartialHeadCheck = std::function<boost::beast::error_code(size_t bytes)>;

// Leaves what follows the head in the buffer. Errors: those of the stream, and those of boost::beast::http for a
// malformed head and for one of more than `maxBytes`: the parser's own limit holds for each read alone.
//
// In a response, a field that is continued on a further line (obs-fold, RFC 9112, section 5.2) is malformed: a peer
// whose bytes are corrupted sends such a line for a field of its own, which may be the one that says where the body
// ends. In a request, the parser joins the lines.
template <bool isRequest>
boost::asio::awaitable<boost::beast::error_code> readHead(boost::beast::tcp_stream&, boost::beast::flat_buffer&,
    boost::beast::http::basic_parser<isRequest>&, size_t maxBytes, PartialHeadCheck = nullptr);

extern template boost::asio::awaitable<boost::beast::error_code> readHead(boost::beast::tcp_stream&,
    boost::beast::flat_buffer&, boost::beast::http::basic_parser<true>&, size_t, PartialHeadCheck);
extern template boost::asio::awaitable<boost::beast::error_code> readHead(boost::beast::tcp_stream&,
    boost::beast::flat_buffer&, boost::beast::http::basic_parser<false>&, size_t, PartialHeadCheck);

// Whether a line begins with a blank or a tab, up to an empty line. The text begins at the start of a line, and may end
// anywhere.
bool hasContinuedLine(std::string_view);

// The trailer of a chunked body, with the line end behind it. `extensions`: of the last chunk. For a callback that the
// parser calls about that chunk: then the whole trailer is in the buffer.
std::string_view trailerAfter(std::string_view extensions, const boost::beast::flat_buffer&);

// Limit of a buffer from which messages are read: more than a response's head, a chunk's extensions or a trailer need.
// Where the limit of a head can be set, it is added.
constexpr size_t readBufferBytes = 262'144;

}
