// HTTP/1.1 from callers: accepts, parses within limits, hands each whole request to a handler, and writes the
// answer. All on one thread.
//
// A request's body is received whole before the handler sees it, so that a slow upload holds no slot of a
// backend server. The memory for it is set aside when its headers arrive; without room it is refused then, not
// in its middle.
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

struct BodyPolicy {
    ErrorKind error = ErrorKind::None; // refuse before reading the body
    uint64_t maxBodyBytes = 0; // bytes
};

// Whether the caller of a request is still there.
struct CallerConnection {
    bool disconnected = false;
    std::string address; // the caller's IP number
    std::function<void()> onDisconnect; // set it for as long as something should be ended then
};

// What decides. Called on the server's thread.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    virtual BodyPolicy bodyPolicy(const CallerHeader&) = 0;
    virtual boost::asio::awaitable<CallerResponse> handle(CallerRequest&, CallerConnection&) = 0;
    virtual CallerResponse errorResponse(ErrorKind) = 0; // an answer that the system makes itself
    virtual bool ready() const = 0; // for the balancer: whether new callers should come
};

struct CallerLimits {
    size_t connections = 20'000;
    size_t bodyMemory = 64'000'000;
    size_t headerBytes = 16'384;
    Millis headerTimeout { 10'000 };
    Millis bodyIdleTimeout { 30'000 };
    Millis idleTimeout { 60'000 };
};

class CallerServer {
public:
    CallerServer(boost::asio::any_io_executor, const Clock&, std::string address, uint16_t port, CallerLimits,
        RequestHandler&, Metrics&);
    ~CallerServer();

    void setLimits(const CallerLimits&); // for what comes from now on
    void startDraining(); // health turns; each answer from now on ends its connection
    void stopAccepting(); // no new connections
    void closeIdle(Millis idleFor); // connections without a request since so long
    uint16_t port() const;
    size_t connections() const;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

}
