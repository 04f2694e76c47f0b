// Minimal HTTP/1.1 client for control traffic: the store, the host list and the administration API.
//
// Requests to backend servers don't go through here; see backends/ServerPool.h.
#pragma once

#include "base/Time.h"
#include "web/ResponseReader.h"

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
    unsigned status = 0; // 0: no response; the request may or may not have taken effect
    std::string body;
    HeaderList headers; // names as received
    bool mayHaveArrived = false; // some or all of the request may have reached the peer

    bool hasResponse() const { return status; }
    std::string_view header(std::string_view name) const; // empty if absent; case-insensitive
};

struct HttpCall {
    boost::beast::http::verb verb = boost::beast::http::verb::get;
    std::string target = "/";
    std::string body;
    HeaderList headers;
};

// Keeps a pool of idle connections to one address. Each connection carries one request at a time; a connection that
// failed or timed out is closed and never reused. Not thread-safe.
class HttpClient {
public:
    HttpClient(boost::asio::any_io_executor, std::string address, uint16_t port, size_t maxIdleConnections = 8,
        ResponseLimits = {});
    ~HttpClient();

    boost::asio::awaitable<HttpReply> send(HttpCall, Millis timeout);

    // Builds the request after a connection has been chosen and tells the function whether the connection is new: a new
    // connection may reach another incarnation of the peer. The function returns nullopt to send nothing.
    using CallFactory = std::function<std::optional<HttpCall>(bool newConnection)>;
    boost::asio::awaitable<HttpReply> send(CallFactory, Millis timeout);

    // The same over a new connection, which carries no other request: what the peer sends late in response to an
    // earlier one can't be taken for this response.
    boost::asio::awaitable<HttpReply> sendAlone(CallFactory, Millis timeout);

    // Sends the request and passes the response body to the handler line by line as it arrives. Returns when the body
    // ends, when nothing is received for `idleTimeout`, when the handler returns false, or at a line that is longer
    // than the bound of a body.
    using LineHandler = std::function<bool(std::string_view line)>;
    boost::asio::awaitable<void> stream(HttpCall, Millis connectTimeout, Millis idleTimeout, LineHandler);

private:
    using Stream = std::unique_ptr<boost::beast::tcp_stream>;
    boost::asio::awaitable<Stream> connect(Millis timeout);
    Stream takeIdleConnection(); // null if no idle connection is still open
    void returnToPool(Stream);
    boost::asio::awaitable<HttpReply> exchange(Stream&, HttpCall, Millis timeout); // keeps a reusable stream

    boost::asio::any_io_executor m_executor;
    std::string m_address;
    uint16_t m_port;
    size_t m_maxIdleConnections;
    ResponseLimits m_limits;
    std::shared_ptr<ResponseMemory> m_memory; // calls in progress share it
    std::vector<Stream> m_idle;
};

}
