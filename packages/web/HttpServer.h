// Minimal HTTP/1.1 server for control traffic: the administration API and the fake servers.
//
// Callers' requests don't go through here; see callers/CallerServer.h.
#pragma once

#include "web/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>

namespace cumindale {

using ServedRequest = boost::beast::http::request<boost::beast::http::string_body>;
using ServedResponse = boost::beast::http::response<boost::beast::http::string_body>;

ServedResponse makeResponse(unsigned status, std::string body, std::string_view contentType = "application/json");

// Path and parsed query of a request target.
struct Target {
    std::string path;
    std::vector<std::pair<std::string, std::string>> query;

    std::string parameter(std::string_view name) const; // empty if absent
};
Target parseTarget(std::string_view target);

struct HttpServerLimits {
    size_t memory = SIZE_MAX; // bytes of the requests that are being received or handled; the largest is cut off
    size_t connections = SIZE_MAX; // for a further one, the oldest is closed
};

// Of servers that operators and the load balancer use. The largest request is a resource.
constexpr HttpServerLimits controlLimits { 8'000'000, 64 };

class HttpServer {
public:
    // Handles a request. Returns nullopt if the handler wrote to the stream itself; the connection is then closed.
    using Handler = std::function<boost::asio::awaitable<std::optional<ServedResponse>>(
        const ServedRequest&, boost::beast::tcp_stream&)>;

    // Throws if it can't bind.
    HttpServer(boost::asio::any_io_executor, std::string address, uint16_t port, Handler, HttpServerLimits = {});
    ~HttpServer();
    uint16_t port() const;
    void stop(); // stops accepting connections
    void closeConnections(); // closes all open connections, as the exit of the process would

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

}
