#include "web/ResponseReader.h"

#include "web/Sockets.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);

    using Parser = http::response_parser<http::string_body>;

    ReadResult resultOf(beast::error_code error)
    {
        if (error == http::error::header_limit)
            return { error, ResponseBound::Header };
        if (error == http::error::body_limit)
            return { error, ResponseBound::Body };
        if (error == http::error::buffer_overflow)
            return { error, ResponseBound::Buffer };
        return { error, ResponseBound::None };
    }

    // RFC 9110, section 15: other numbers are invalid, also those of three digits, which Boost.Beast reads.
    bool isValidStatus(unsigned status) { return status >= 100 && status <= 599; }

    bool isInterim(unsigned status) { return status / 100 == 1; } // RFC 9110, section 15.2

    constexpr size_t mostBytesRead = 65'536; // at once, of a body

    // Memory that a body takes until some more of it has been read. While it grows, old and new storage exist.
    size_t memoryOfNextRead(const Parser& parser)
    {
        const std::string& body = parser.get().body();
        const uint64_t left = parser.content_length_remaining().value_or(mostBytesRead);
        const bool mayGrow = body.size() + std::min<uint64_t>(left, mostBytesRead) > body.capacity();
        return mayGrow ? 3 * body.capacity() : body.capacity();
    }

    asio::awaitable<ReadResult> readBody(
        beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser, ResponseMemory* memory)
    {
        std::optional<ResponseMemory::Reader> reader;
        if (memory)
            reader.emplace(*memory, [&stream] { resetConnection(stream); });
        auto checkTrailer = [&buffer](uint64_t chunkBytes, std::string_view extensions, beast::error_code& error) {
            if (!chunkBytes && hasContinuedLine(trailerAfter(extensions, buffer)))
                error = http::error::bad_field;
        };
        parser.on_chunk_header(checkTrailer);
        parser.eager(true);
        while (!parser.is_done()) {
            const auto [error, bytesRead] = co_await http::async_read_some(stream, buffer, parser, token);
            const bool cutOff = reader && (reader->isCutOff() || (!error && !reader->grow(memoryOfNextRead(parser))));
            if (cutOff)
                co_return ReadResult { http::error::body_limit, ResponseBound::Memory };
            if (error)
                co_return resultOf(error);
        }
        co_return ReadResult {};
    }

}

std::string_view nameOf(ResponseBound bound)
{
    switch (bound) {
    case ResponseBound::None:
        return "none";
    case ResponseBound::Header:
        return "header";
    case ResponseBound::Body:
        return "body";
    case ResponseBound::Memory:
        return "memory";
    case ResponseBound::Interim:
        return "interim";
    case ResponseBound::Buffer:
        return "buffer";
    }
    return "none";
}

asio::awaitable<ReadResult> readResponse(beast::tcp_stream& stream, beast::flat_buffer& buffer, bool toHead,
    ResponseLimits limits, ResponseMemory* memory, PeerResponse& response)
{
    for (unsigned i = 0; i <= limits.interimResponses; ++i) {
        Parser parser;
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        parser.skip(toHead);
        const beast::error_code error = co_await readHead(stream, buffer, parser, limits.headerBytes);
        if (error)
            co_return resultOf(error);
        // By number: Boost.Beast 1.81 has no name, and so no class, for 103.
        const unsigned status = parser.get().result_int();
        if (!isValidStatus(status) || status == static_cast<unsigned>(http::status::switching_protocols))
            co_return ReadResult { http::error::bad_status };
        if (isInterim(status))
            continue;
        ReadResult result = co_await readBody(stream, buffer, parser, memory);
        result.untilClose = parser.need_eof();
        if (!result.error)
            response = parser.release();
        co_return result;
    }
    co_return ReadResult { http::error::bad_status, ResponseBound::Interim };
}

}
