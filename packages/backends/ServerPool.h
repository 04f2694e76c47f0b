// Connections to one backend server, and one exchange on one of them.
//
// One exchange at a time on a connection. A connection that timed out or broke is closed, never used again, so
// a late or crossed answer can't reach anybody. All on the routing thread.
#pragma once

#include "base/ErrorKind.h"
#include "base/Time.h"
#include "decisions/Admission.h"
#include "decisions/Resources.h"
#include "decisions/ServerHealth.h"
#include "web/Signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace cumindale {

using BackendRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BackendResponse = boost::beast::http::response<boost::beast::http::string_body>;

// How an exchange ended.
struct ExchangeResult {
    ErrorKind error = ErrorKind::None;
    bool sent = false; // at least one byte may have reached the server
    bool incomplete = false; // without a whole answer
    BackendResponse response;
};

class BackendConnection {
public:
    explicit BackendConnection(boost::asio::any_io_executor);
    boost::asio::awaitable<bool> connect(const ServerResource&, Millis timeout);
    // `echoHeader`: the server repeats this header of the request in its answer. An answer with another value belongs
    // to an earlier request and is dropped; the connection is not used again.
    boost::asio::awaitable<ExchangeResult> exchange(BackendRequest&, Millis timeout, std::string_view echoHeader = {});
    void cancelExchange() { m_stream.cancel(); } // ends a running exchange as if the connection were lost
    bool reusable() const { return m_reusable; }
    bool hasUnsolicitedInput(); // a byte or an end is waiting although nothing was asked
    Instant lastResponseAt {};
    Millis serverIdleTimeout() const
    {
        return m_serverIdleTimeout;
    } // as the server's last answer said; it closes it after

private:
    boost::asio::awaitable<boost::beast::error_code> readResponse(const BackendRequest&, BackendResponse&);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    Millis m_serverIdleTimeout { Millis::max() };
    bool m_reusable = false;
};

using ConnectionPointer = std::unique_ptr<BackendConnection>;

class ServerPool {
public:
    ServerPool(boost::asio::any_io_executor, const Clock&, ServerResource, MonitorOptions, // with an Admission
        std::unique_ptr<SlotQueue> = std::make_unique<Admission>(AdmissionOptions {}),
        Millis maxIdleNonIdempotent
        = Millis(1'000)); // a non-idempotent request goes only over a connection that answered so lately

    const ServerResource& server() const { return m_server; }
    void update(const ServerResource&, size_t hosts); // new settings, and how many hosts share the server
    void setLimit(double); // requests at once from this host, where it is not an even share
    void setPermits(std::optional<unsigned>, Millis pause); // see SlotQueue
    ServerMonitor& monitor() { return m_monitor; }
    const ServerMonitor& monitor() const { return m_monitor; }

    // --- Slots. `admit` waits for one in the queue.
    enum class AdmitResult : uint8_t { Admitted, Refused, TimedOut, Evicted };
    boost::asio::awaitable<AdmitResult> admit(PriorityClass, Instant arrived, Instant deadline);
    boost::asio::awaitable<AdmitResult> admit(SlotRequest); // its ticket is given here
    void evictQueue(); // what waits here looks anew for its owner, and keeps its age
    void release(PriorityClass, Millis took); // after each admit() that said Yes; 0: the slot was not used
    Millis expectedWait(PriorityClass priority) const { return m_admission->expectedWait(priority); }
    const SlotQueue& admission() const { return *m_admission; }

    // --- Connections. Null: could not connect.
    boost::asio::awaitable<ConnectionPointer> acquireConnection(bool idempotent, Millis timeout);
    boost::asio::awaitable<ConnectionPointer> connect(Millis timeout); // a new one
    void returnConnection(ConnectionPointer);
    void closeIdleConnections(); // the server went silent: its old connections may be dead for good

private:
    struct Waiter {
        Signal signal;
        bool admitted = false;
        bool evicted = false;
        bool shed = false;
    };

    void admitQueued();
    void notifyShed();

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    ServerResource m_server;
    ServerMonitor m_monitor;
    std::unique_ptr<SlotQueue> m_admission;
    Millis m_maxIdleNonIdempotent;
    std::unordered_map<TicketId, Waiter*> m_waiters;
    TicketId m_nextTicket = 1;
    std::deque<ConnectionPointer> m_idleConnections; // newest last
    size_t m_maxConnections = 1;
};

}
