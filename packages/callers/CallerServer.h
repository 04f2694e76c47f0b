// HTTP/1.1 server for callers: accepts connections, parses requests within limits, passes each complete request to a
// handler and writes the response. Runs on one thread. CallerSession.h serves one connection.
//
// The body of a request is received completely before the handler is called, so that a slow upload occupies no slot of
// a backend server. Memory for a body of known length is reserved when the headers arrive: if there is too little, the
// request is refused then and not halfway through the upload.
#pragma once

#include "base/ErrorKind.h"
#include "base/Metrics.h"
#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cumindale {

using CallerHeader = boost::beast::http::request_header<>;
using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;
using CallerResponse = boost::beast::http::response<boost::beast::http::string_body>;

// How to read and run a request.
struct RequestPolicy {
    ErrorKind error = ErrorKind::None; // if not None: refuse the request before reading the body
    uint64_t maxBodyBytes = 0;
    bool mayOverlap = false; // the request may run while others from the same connection do that may overlap, too
};

// Connection of the caller of a request, as the handler sees it.
struct CallerConnection {
    bool disconnected = false;
    std::string address; // the caller's IP address
    std::function<void()> onDisconnect; // set by the handler while there is work to cancel on a disconnect
};

// Processes requests. Called on the server's thread.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    virtual RequestPolicy requestPolicy(const CallerHeader&) = 0;
    virtual boost::asio::awaitable<CallerResponse> handle(CallerRequest&, CallerConnection&) = 0;
    // The host's own response to a request that wasn't handled. If the header couldn't be parsed, it is incomplete.
    virtual CallerResponse errorResponse(ErrorKind, const CallerHeader&) = 0;
    virtual bool ready() const = 0; // whether the load balancer should send new callers to this host
};

struct CallerLimits {
    size_t connections = 20'000;
    size_t bodyMemory = 64'000'000;
    size_t headerBytes = 16'384;
    Millis headerTimeout { 10'000 };
    Millis bodyIdleTimeout { 30'000 };
    Millis idleTimeout { 60'000 };
    size_t responseMemory = 32'000'000; // of responses that aren't completely written; beyond it requests are refused
    // On one connection no further request is read while so many bytes of responses aren't written, ...
    size_t connectionResponseBytes = 1'000'000;
    size_t pipelinedRequests = 8; // ... or so many requests have not been answered
    int64_t rulesRevision = 0; // of the operators' document that the limits are from; 0: none
};

// Bytes that one request takes at most, at all limits.
size_t memoryOfLargestRequest(size_t headerBytes, size_t bodyBytes);

class CallerServer {
public:
    // `healthPath`: where the load balancer checks this host, by GET or HEAD. No other request is answered without the
    // handler. Empty: not on this port, so that every path can be a route.
    CallerServer(boost::asio::any_io_executor, const Clock&, std::string address, uint16_t port, CallerLimits,
        RequestHandler&, Metrics&, std::string healthPath = {});
    ~CallerServer();

    void setLimits(const CallerLimits&); // apply to connections and requests from now on
    void startDraining(); // the health check fails; each connection is closed after its next response
    void stopAccepting(); // accepts no new connections
    void closeIdle(Millis idleFor); // closes connections that have had no request for this long
    uint16_t port() const;
    size_t connections() const;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

}
