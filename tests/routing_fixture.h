// A router with its callers' side and one fake backend server, all on one thread of this process. The fake does
// to each request what the test says.
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

// What the fake server does to one request.
enum class ServerBehavior {
    Answer,
    CloseBeforeAnswer, // runs it, then ends the connection
    CloseInAnswer, // runs it, sends half of the answer
    WrongRequestId, // answers as if for another request
    ExtraBytes, // answers, and sends more that nobody asked for
    ShorterThanDeclared, // names a longer length than it sends, then ends
    AnswerAfterDeadline, // answers after 600 ms, past the deadline
    DelayedAnswer, // answers after 200 ms
    Refuse, // does not run it, and says so
};

struct Answer {
    int status = 0; // 0: the connection ended without one
    std::string head;
    std::string body;

    std::string header(std::string_view name) const;
};

class RoutingFixture {
public:
    explicit RoutingFixture(CallerLimits limits = {}, uint64_t largestBody = 1'000'000);
    explicit RoutingFixture(std::shared_ptr<const Clock>);
    ~RoutingFixture();

    void setBehaviors(std::deque<ServerBehavior> behaviors); // for the next requests; then Answer
    size_t runs() const { return m_runs; } // requests that the fake ran
    size_t cancelled() const { return m_cancelled; } // requests whose connection was ended while the fake worked
    size_t serverConnections() const { return m_connections; }
    std::string receivedHeader(const std::string& name); // of the newest request at the fake
    uint16_t port() const { return m_port; }
    void setTable(uint64_t version, SliceState, Millis leaseDuration = Millis(3'600'000));
    void stopServer(); // nothing listens any more

    // Sends bytes to the callers' port and reads one answer, or until the connection ends.
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
    std::set<uint16_t> m_serverPeerPorts; // by the other end's port
    std::unique_ptr<HttpServer> m_fakeServer;
    std::unique_ptr<Router> m_router;
    std::unique_ptr<CallerServer> m_callers;
    uint16_t m_port = 0;
    std::thread m_thread;
};

}
