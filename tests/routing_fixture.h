// A router, its caller-facing server and one fake backend server, all on one thread of this process. Tests choose the
// behavior of the fake server for each request.
#pragma once

#include "base/Hash.h"
#include "callers/CallerServer.h"
#include "routing/Router.h"
#include "web/HttpServer.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace cumindale::fixture {

// How the fake server handles one request.
enum class ServerBehavior {
    Answer,
    CloseBeforeAnswer, // runs the request, then closes the connection
    CloseInAnswer, // runs the request, then closes the connection with the answer incomplete
    WrongRequestId, // answers with the id of another request
    ExtraBytes, // answers, then sends a second response that nobody requested
    ShorterThanDeclared, // sends fewer bytes than Content-Length declares, then closes the connection
    AnswerAfterDeadline, // answers after 600 ms; the deadline is 300 ms
    DelayedAnswer, // answers after 200 ms, before the deadline
    Refuse, // answers 503 without running the request, with `Cumindale-Ran: no`
};

struct Answer {
    int status = 0; // HTTP status; 0: the connection was closed without an answer
    std::string head;
    std::string body;

    std::string header(std::string_view name) const;
};

class RoutingFixture {
public:
    explicit RoutingFixture(CallerLimits limits = {}, uint64_t largestBody = 1'000'000);
    explicit RoutingFixture(std::shared_ptr<const Clock>);
    ~RoutingFixture();

    void setBehaviors(std::deque<ServerBehavior> behaviors); // for the next requests, in order; Answer after these
    size_t runs() const { return m_runs; } // requests that the fake server ran
    size_t cancelled() const { return m_cancelled; } // requests whose connection was closed while they ran
    size_t serverConnections() const { return m_connections; }
    std::string receivedHeader(const std::string& name); // of the latest request at the fake server
    uint16_t port() const { return m_port; }
    void setTable(uint64_t version, SliceState, Millis leaseDuration = Millis(3'600'000));
    void stopServer(); // connections are refused from now on

    // Sends bytes to the callers' port and reads until one answer is complete or the connection is closed.
    Answer send(const std::string& bytes) const;
    void sendAndDisconnect(const std::string& bytes) const; // closes after 50 ms
    Answer get(const std::string& more = "") const { return send(request("GET", "lookup", more)); }
    Answer post(const std::string& body) const;
    static std::string request(const std::string& method, const std::string& path, const std::string& more);

private:
    boost::asio::awaitable<std::optional<ServedResponse>> serve(const ServedRequest&, boost::beast::tcp_stream&);
    void runOnRouterThread(std::function<void()>);

    RoutingFixture(std::shared_ptr<const Clock>, CallerLimits, uint64_t largestBody);

    std::shared_ptr<const Clock> m_clock;
    Metrics m_metrics;
    SpanLog m_spans { 1000 };
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::mutex m_mutex;
    std::deque<ServerBehavior> m_behaviors;
    std::map<std::string, std::string> m_received;
    std::atomic<size_t> m_runs { 0 };
    std::atomic<size_t> m_connections { 0 };
    std::atomic<size_t> m_cancelled { 0 };
    std::set<uint16_t> m_serverPeerPorts; // source ports of the router's connections to the fake server
    std::unique_ptr<HttpServer> m_fakeServer;
    std::unique_ptr<Router> m_router;
    std::unique_ptr<CallerServer> m_callers;
    uint16_t m_port = 0;
    std::thread m_thread;
};

}
