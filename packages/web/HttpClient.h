// Small HTTP/1.1 client for control traffic: the store, the host list, the administration API.
//
// Requests to backend servers don't go through here; see backends/ServerPool.h.
#pragma once

#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct HttpReply {
    unsigned status = 0; // 0: no answer; the request may or may not have taken effect
    std::string body;
    HeaderList headers; // names as received
    bool mayHaveArrived = false; // the request, or a part of it

    bool arrived() const { return status; }
    std::string_view header(std::string_view name) const; // empty if absent; the name's case does not matter
};

struct HttpCall {
    boost::beast::http::verb verb = boost::beast::http::verb::get;
    std::string target = "/";
    std::string body;
    HeaderList headers;
};

// Keeps idle connections to one address. One exchange at a time on each; a connection that failed or timed out
// is closed, never used again. Use it from one thread.
class HttpClient {
public:
    HttpClient(boost::asio::any_io_executor, std::string address, uint16_t port, size_t mostIdle = 8);
    ~HttpClient();

    boost::asio::awaitable<HttpReply> send(HttpCall, Millis timeout);

    // The call is made once it is known whether it goes over a connection that was not there before: behind such a one
    // another incarnation of the peer may answer. Nothing: it isn't sent.
    using CallMaker = std::function<std::optional<HttpCall>(bool newConnection)>;
    boost::asio::awaitable<HttpReply> send(CallMaker, Millis timeout);

    // Sends, then hands out the answer's body line by line as it comes, until it ends, a line takes longer than
    // `silence`, or the handler returns false.
    using LineHandler = std::function<bool(std::string_view line)>;
    boost::asio::awaitable<void> stream(HttpCall, Millis connectTimeout, Millis silence, LineHandler);

private:
    using Stream = std::unique_ptr<boost::beast::tcp_stream>;
    boost::asio::awaitable<Stream> connect(Millis timeout);
    Stream takeIdle(); // null: none that is still open
    void keep(Stream);
    boost::asio::awaitable<HttpReply> exchange(Stream, HttpCall, Millis timeout);

    boost::asio::any_io_executor m_executor;
    std::string m_address;
    uint16_t m_port;
    size_t m_mostIdle;
    std::vector<Stream> m_idle;
};

}
