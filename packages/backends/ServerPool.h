// Connection pool and admission queue of one backend server.
//
// A connection carries one exchange at a time. After a timeout or an error it is closed and never reused, so that a
// late response can't be taken for the response to another request. All calls are made on the routing thread.
#pragma once

#include "base/ErrorKind.h"
#include "base/Time.h"
#include "decisions/Admission.h"
#include "decisions/Resources.h"
#include "decisions/ServerHealth.h"
#include "web/ResponseReader.h"
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
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cumindale {

using BackendRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BackendResponse = PeerResponse;

// Outcome of an exchange.
struct ExchangeResult {
    ErrorKind error = ErrorKind::None;
    bool sent = false; // at least one byte may have reached the server
    bool incomplete = false; // no complete response was received
    ResponseBound bound = ResponseBound::None; // that the response exceeded, with BadAnswer
    unsigned staleResponses = 0; // responses to earlier requests, which were dropped
    BackendResponse response;
};

class BackendConnection {
public:
    BackendConnection(boost::asio::any_io_executor, const Clock&, std::shared_ptr<ResponseMemory>);
    boost::asio::awaitable<bool> connect(const ServerResource&, Millis timeout);
    // `echoHeader`: name of a request header that the server repeats in its response. A response with another value
    // belongs to an earlier request and is dropped; the connection is not reused.
    boost::asio::awaitable<ExchangeResult> exchange(BackendRequest&, Millis timeout, std::string_view echoHeader = {});
    // Whether an exchange of a request with this echoed value has begun and its timeout isn't over. A server may send a
    // late second copy of the response, which would look like the response to another attempt with the same value.
    bool hasCarried(std::string_view echoed) const;
    void cancelExchange() { m_stream.cancel(); } // the exchange in progress fails as if the connection were lost
    bool reusable() const { return m_reusable; }
    bool hasUnsolicitedInput(); // data or end of stream arrived without a request
    uint16_t localPort() const { return m_localPort; } // identifies the connection in logs
    unsigned exchanges() const { return m_exchanges; } // begun so far
    Instant lastResponseAt {}; // set when the connection returns to the pool
    // Idle time after which the server closes the connection, as its last response said; Millis::max() if it said none.
    Millis serverIdleTimeout() const { return m_serverIdleTimeout; }

private:
    struct CarriedRequest {
        uint64_t echoedHash = 0;
        Instant deadline {};
    };

    void recordRequest(std::string_view echoed, Millis timeout);

    const Clock& m_clock;
    boost::beast::tcp_stream m_stream;
    std::shared_ptr<ResponseMemory> m_memory;
    boost::beast::flat_buffer m_buffer { readBufferBytes };
    std::vector<CarriedRequest> m_carried; // whose deadlines hadn't passed at the last exchange
    Millis m_serverIdleTimeout { Millis::max() };
    uint16_t m_localPort = 0;
    unsigned m_exchanges = 0;
    bool m_reusable = false;
};

using ConnectionPointer = std::unique_ptr<BackendConnection>;

class ServerPool {
public:
    // A non-idempotent request reuses only a connection that has been idle for at most `maxIdleNonIdempotent`.
    ServerPool(boost::asio::any_io_executor, const Clock&, ServerResource, MonitorOptions,
        std::shared_ptr<ResponseMemory>, std::unique_ptr<SlotQueue> = std::make_unique<Admission>(AdmissionOptions {}),
        Millis maxIdleNonIdempotent = Millis(1'000));

    const ServerResource& server() const { return m_server; }
    void update(const ServerResource&, size_t hosts); // applies new settings; `hosts` is how many share the server
    void setLimit(double); // concurrent requests from this host, in place of its even share
    void setPermits(std::optional<unsigned>, Millis pause); // see SlotQueue::setPermits()
    ServerMonitor& monitor() { return m_monitor; }
    const ServerMonitor& monitor() const { return m_monitor; }

    // --- Slots. admit() waits in the queue for a slot.
    enum class AdmitResult : uint8_t { Admitted, Refused, TimedOut, Evicted };
    boost::asio::awaitable<AdmitResult> admit(PriorityClass, Instant arrived, Instant deadline);
    boost::asio::awaitable<AdmitResult> admit(SlotRequest); // assigns the ticket
    void admitGranted() { m_admission->startGranted(m_clock.now()); } // by a slot that was granted elsewhere
    void evictQueue(); // ends all waits with Evicted; such a request looks up its owner again and keeps its age
    void release(PriorityClass, Millis took); // after each admit() that returned Admitted; 0: the slot was not used
    Millis expectedWait(PriorityClass priority) const { return m_admission->expectedWait(priority); }
    const SlotQueue& admission() const { return *m_admission; }

    // --- Connections. Null: the connection attempt failed.
    // `echoed`: the value that the server repeats in its response to the request. Unless empty, the connection hasn't
    // carried an earlier attempt with it.
    boost::asio::awaitable<ConnectionPointer> acquireConnection(
        bool idempotent, Millis timeout, std::string_view echoed = {});
    void returnConnection(ConnectionPointer);
    // Opens a new connection and keeps it for the next request. False: none could be opened.
    boost::asio::awaitable<bool> tryConnect(Millis timeout);
    // Whether an idle connection would be used for any request. It may still turn out to be closed.
    bool hasConnection(Instant now) const;
    void closeIdleConnections(); // for a server that became unresponsive: its connections may be dead

private:
    struct Waiter {
        Signal signal;
        bool admitted = false;
        bool evicted = false;
        bool shed = false;
    };

    boost::asio::awaitable<ConnectionPointer> connect(Millis timeout); // opens a new connection
    void admitQueued();
    void notifyShed();
    ConnectionPointer takeIdleConnection(bool idempotent, std::string_view echoed); // null: none can be used
    bool usable(const BackendConnection&, bool idempotent, Instant now) const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    ServerResource m_server;
    ServerMonitor m_monitor;
    std::shared_ptr<ResponseMemory> m_memory;
    std::unique_ptr<SlotQueue> m_admission;
    Millis m_maxIdleNonIdempotent;
    std::unordered_map<TicketId, Waiter*> m_waiters;
    TicketId m_nextTicket = 1;
    std::deque<ConnectionPointer> m_idleConnections; // most recently used last
    size_t m_maxConnections = 1;
};

}
