// One caller's connection: reads requests, runs them, and writes the responses in the order of the requests.
//
// A caller may send further requests before the first one is answered (pipelining, RFC 9112, section 9.3.2). Requests
// that the handler allows to overlap run concurrently, so that a slow one doesn't add its time to those behind it. All
// others run alone. Requests behind a response that closes the connection are not passed to the handler.
//
// Memory is bounded for each connection and for the host: a connection runs a limited number of requests, reads no
// further ones while its unwritten responses exceed a limit, and gives way to others as CallerBudget decides.
#pragma once

#include "base/Metrics.h"
#include "callers/CallerServer.h"
#include "decisions/CallerBudget.h"
#include "decisions/LineBudget.h"
#include "web/HeadReader.h"
#include "web/Signal.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace cumindale {

CallerBudgetLimits budgetLimits(const CallerLimits&);

// What all connections of a server share.
struct CallerContext {
    CallerContext(const Clock&, CallerLimits, RequestHandler&, Metrics&, std::string healthPath);
    bool isHealthCheck(const CallerHeader&) const;

    const Clock& clock;
    CallerLimits limits;
    RequestHandler& handler;
    std::string healthPath; // empty: this port has none
    Counter& requests;
    Counter& overlappingRequests;
    Counter& bodyBytes;
    Counter& slowReadersClosed;
    Counter& closedForOthers; // connections closed to make room; see CallerBudget
    Counter& requestsGivenUp; // unfinished requests refused to make room
    Counter& closedUndelivered; // connections that this host closed before the caller had received the last response
    LineBudget undeliveredLines; // of the log, about such connections
    CallerBudget budget;
    bool draining = false; // each connection is closed after its next response
};

// Memory of one received request, released on destruction.
class HeldRequest {
public:
    HeldRequest() = default;
    ~HeldRequest()
    {
        if (m_account)
            m_account->release(m_bytes);
    }
    HeldRequest(const HeldRequest&) = delete;
    HeldRequest& operator=(const HeldRequest&) = delete;

    void take(CallerBudget::Account& account) // what the account holds for the request that it has received
    {
        m_account = &account;
        m_bytes = account.finishRequest();
    }

private:
    CallerBudget::Account* m_account = nullptr;
    size_t m_bytes = 0;
};

class CallerSession : public std::enable_shared_from_this<CallerSession>, private CallerBudget::Owner {
public:
    CallerSession(std::shared_ptr<CallerContext>, boost::beast::tcp_stream);
    ~CallerSession() override;

    boost::asio::awaitable<void> run(); // until the connection has ended
    // To be called regularly: detects callers that have disconnected, and ends operations whose time is over.
    void check();
    void closeIfIdle(Millis idleFor);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // One request and its response.
    struct Exchange {
        HeldRequest held;
        CallerRequest request;
        CallerConnection caller;
        CallerResponse response;
        bool mayOverlap = false; // as in RequestPolicy
        bool keepAlive = false; // the connection may carry further requests after the response
        bool answered = false; // `response` is ready to be written
    };
    using Exchanges = std::list<std::unique_ptr<Exchange>>;

    enum class ReadState : uint8_t {
        None, // not reading
        Waiting, // for the first byte of a request
        Request, // a request has begun
        Starting, // a complete request waits for earlier ones to end
        Lingering, // discards input after the last response
    };

    // --- Reading. These return false if no further request is to be read.
    boost::asio::awaitable<bool> readRequest();
    boost::asio::awaitable<bool> waitForInput();
    boost::asio::awaitable<bool> sendContinue();
    // These return the error of the request. ConnectionLost: no response can be sent.
    boost::asio::awaitable<ErrorKind> readHeader(Parser&);
    boost::asio::awaitable<ErrorKind> readBody(Parser&);
    ErrorKind admit(Parser&, Exchange&);
    // NotFresh in place of a request that is too large by a limit that has been replaced since.
    ErrorKind sizeError(ErrorKind) const;
    boost::beast::error_code checkPartialHead(size_t bytes);
    // The memory of the request that is being read. False: see memoryError().
    bool holdRequest(size_t bodyMemory);
    bool growBody(std::string& body, size_t bytes);
    boost::beast::error_code checkChunk(uint64_t chunkBytes, std::string_view extensions);
    ErrorKind memoryError() const;
    void shrinkBuffer(); // of an idle connection
    bool leavesInputUnread();
    boost::asio::awaitable<void> linger();
    void checkLinger(Instant now);
    bool mayReadOn() const;
    bool mayStart(const Exchange&) const;
    Instant readDeadline() const;
    bool isIdle(); // no request, and no response that the caller is still receiving
    bool ended() const { return m_broken || m_closing; } // no further response is written
    bool stopsReading() const { return ended() || m_callerGone; }

    // --- CallerBudget::Owner
    void giveUpRequest() override;
    void closeForOthers() override;

    void closeAsSlowReader();
    void abort(); // closes the connection without delivering anything more

    // --- Running and writing
    // Returns false if the request is not to be run, because the connection has ended before its turn.
    boost::asio::awaitable<bool> startInTurn(std::unique_ptr<Exchange>);
    void answer(std::unique_ptr<Exchange>, bool head, CallerResponse); // without the handler
    boost::asio::awaitable<void> runExchange(std::shared_ptr<CallerSession>, Exchange&);
    void setResponse(Exchange&, bool head, CallerResponse); // `head`: to a HEAD request
    boost::asio::awaitable<void> writeAnswered(std::shared_ptr<CallerSession>);
    boost::asio::awaitable<bool> writeResponse(Exchange&);
    bool closesAfter(const Exchange&) const;
    void onCallerGone();
    void recordUndelivered();

    std::shared_ptr<CallerContext> m_context;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer; // readHeader() sets its limit
    std::string m_address; // the caller's IP address
    CallerBudget::Account m_account;
    Exchanges m_exchanges; // in the order of the requests
    size_t m_headMemory = 0; // of the request that is being read, apart from its body
    size_t m_bodyMemory = 0;
    size_t m_maxBodyBytes = 0; // of the request that is being read
    size_t m_framingBytes = 0; // of its body: extensions of chunks, and the trailer
    Signal m_progress; // notified when a response has been written or the connection ends
    ReadState m_readState = ReadState::None;
    int64_t m_limitsRevision = 0; // CallerLimits::rulesRevision, of the limit for the part that is being read
    Instant m_requestDeadline {}; // for the next part of the request that is being read
    bool m_timedOut = false; // the read in progress was ended at its deadline
    bool m_givenUp = false; // the request that is being read, for its memory
    bool m_writing = false;
    Instant m_writeProgress {}; // while writing: when the caller last took part of the response
    size_t m_unwrittenBytes = 0; // of responses
    Instant m_idleSince {}; // when the connection was opened, or the last response was written
    bool m_closing = false; // the response being written, or written last, closes the connection
    bool m_broken = false; // no further response can be written
    bool m_callerGone = false; // the caller has closed its end
    size_t m_unacknowledged = 0; // while lingering: bytes of responses that the caller hasn't acknowledged, ...
    Instant m_lingerProgress {}; // ... and when it last acknowledged some
    bool m_lingerEnded = false;
};

}
