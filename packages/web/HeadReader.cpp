#include "web/HeadReader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <iterator>
#include <string_view>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr size_t mostBytesRead = 65'536; // at once
    constexpr size_t fieldBytes = 96; // of the parser, for each field

    std::string_view textOf(const beast::flat_buffer& buffer)
    {
        const asio::const_buffer bytes = buffer.data();
        return { static_cast<const char*>(bytes.data()), bytes.size() };
    }

    asio::awaitable<beast::error_code> receive(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        const size_t room = beast::read_size(buffer, mostBytesRead);
        if (!room)
            co_return http::error::buffer_overflow;
        const auto [error, bytesRead] = co_await stream.async_read_some(buffer.prepare(room), token);
        buffer.commit(bytesRead);
        co_return error;
    }

}

size_t memoryOfFields(const http::fields& fields)
{
    return static_cast<size_t>(std::distance(fields.begin(), fields.end())) * fieldBytes;
}

size_t mostMemoryOfFields(size_t bytes)
{
    constexpr std::string_view shortestField = "a:\r\n";
    return bytes + bytes / shortestField.size() * fieldBytes;
}

bool hasContinuedLine(std::string_view text)
{
    constexpr std::string_view lineEnd = "\r\n";
    while (!text.empty() && !text.starts_with(lineEnd)) {
        if (text.front() == ' ' || text.front() == '\t')
            return true;
        const size_t end = text.find(lineEnd);
        if (end == std::string_view::npos)
            return false;
        text.remove_prefix(end + lineEnd.size());
    }
    return false;
}

std::string_view trailerAfter(std::string_view extensions, const beast::flat_buffer& buffer)
{
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view emptyLine = "\r\n\r\n";
    const std::string_view text = textOf(buffer);
    const std::string_view trailer = text.substr(extensions.data() + extensions.size() + lineEnd.size() - text.data());
    if (trailer.starts_with(lineEnd))
        return trailer.substr(0, lineEnd.size());
    return trailer.substr(0, trailer.find(emptyLine) + emptyLine.size());
}

template <bool isRequest>
asio::awaitable<beast::error_code> readHead(beast::tcp_stream& stream, beast::flat_buffer& buffer,
    http::basic_parser<isRequest>& parser, size_t maxBytes, PartialHeadCheck check)
{
    size_t consumed = 0;
    for (;;) {
        beast::error_code error;
        if (buffer.size()) {
            // The parser would join such a line to the one before it. It consumes whole lines, so the buffer begins
            // with one.
            if (!isRequest && hasContinuedLine(textOf(buffer)))
                co_return http::error::bad_field;
            const size_t parsed = parser.put(buffer.data(), error);
            buffer.consume(parsed);
            consumed += parsed;
            if (error && error != http::error::need_more)
                co_return error;
            const size_t unparsed = parser.is_header_done() ? 0 : buffer.size();
            if (consumed + unparsed > maxBytes)
                co_return http::error::header_limit;
            if (parser.is_header_done())
                co_return beast::error_code {};
            if (check)
                error = check(consumed + unparsed);
            if (check && error)
                co_return error;
        }
        error = co_await receive(stream, buffer);
        if (error == asio::error::eof)
            co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        if (error)
            co_return error;
    }
}

template asio::awaitable<beast::error_code> readHead(
    beast::tcp_stream&, beast::flat_buffer&, http::basic_parser<true>&, size_t, PartialHeadCheck);
template asio::awaitable<beast::error_code> readHead(
    beast::tcp_stream&, beast::flat_buffer&, http::basic_parser<false>&, size_t, PartialHeadCheck);

}
