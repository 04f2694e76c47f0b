#include "web/ResponseReader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

asio::awaitable<beast::error_code> readResponse(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, bool toHead, ResponseLimits limits, PeerResponse& response)
{
    for (unsigned i = 0; i <= limits.interimResponses; ++i) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        parser.skip(toHead);
        const auto [error, bytesRead]
            = co_await http::async_read(stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return error;
        const http::status status = parser.get().result();
        if (status == http::status::switching_protocols)
            co_return http::error::bad_status;
        if (http::to_status_class(status) == http::status_class::informational)
            continue;
        response = parser.release();
        co_return beast::error_code {};
    }
    co_return http::error::bad_status;
}

}
