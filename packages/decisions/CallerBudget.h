// What the connections of all callers may hold on one host, and which of them gives way when that is used up.
//
// Load pattern: many connections, each inside the limits of one request, that wait for their callers: requests that are
// never finished, heads of thousands of short fields, responses that aren't read, or nothing at all. Together they
// would use up the memory or the descriptors of the host, and ordinary callers would be refused for as long as they
// stay. What has held most for longest gives way: an ordinary request holds little, or holds it briefly.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <set>

namespace cumindale {

struct CallerBudgetLimits {
    size_t connections = 0;
    size_t requestBytes = 0; // of requests, from their first byte until they are answered
    size_t responseBytes = 0; // of responses that aren't completely written; both together: the sum
};

class CallerBudget {
public:
    // Ends what a connection holds. Called at most once for each request and for each connection.
    class Owner {
    public:
        virtual ~Owner() = default;
        virtual void giveUpRequest() = 0; // the one that is being received
        virtual void closeForOthers() = 0; // the connection
    };

    // What one connection holds.
    class Account {
    public:
        Account(CallerBudget&, Owner&, Instant now);
        ~Account();
        Account(const Account&) = delete;
        Account& operator=(const Account&) = delete;

        void waitIdle(Instant since); // for a request; until beginRequest()
        void beginRequest(Instant now);
        // Of the request that is being received, in all. False: there is too little memory, or the request was given
        // up.
        bool holdRequest(size_t bytes, Instant now);
        // Of its body, in all. A request that waits for its caller has not got a good part of what it holds for a
        // while: a byte now and then is no progress.
        void noteReceived(size_t bytes, Instant now);
        size_t finishRequest(); // it is received; what it holds, until release()
        void dropRequest(); // it is refused
        void release(size_t bytes); // of requests that were received

        // Closes others, or at last this connection, if that is too much.
        void addResponse(size_t bytes, Instant now);
        void removeResponse(size_t bytes);
        void waitForReader(Instant since) { m_writingSince = since; } // to take a response
        void stopWaitingForReader() { m_writingSince = notWaiting; }

    private:
        friend class CallerBudget;

        Instant waitingSince() const; // for the caller; notWaiting while a request is being processed
        double costOfReceiving(Instant now) const; // byte milliseconds
        double costOfResponses(Instant now) const;

        CallerBudget& m_budget;
        Owner& m_owner;
        Instant m_idleSince;
        Instant m_receivingSince = notWaiting;
        Instant m_writingSince = notWaiting;
        size_t m_receiving = 0; // bytes
        size_t m_progress = 0; // bytes of the body at m_receivingSince
        size_t m_received = 0;
        size_t m_responses = 0;
        bool m_isGivenUp = false; // the request that is being received
        bool m_isClosed = false;
    };

    explicit CallerBudget(CallerBudgetLimits limits)
        : m_limits(limits)
    {
    }

    void setLimits(const CallerBudgetLimits& limits) { m_limits = limits; }
    // Whether one more connection may be opened. Closes another one that has waited for its caller for long, if there
    // is one.
    bool admitConnection(Instant now);
    // Whether one more request may be processed, whose response has to be kept until its caller takes it.
    bool admitResponse(Instant now);
    size_t requestBytes() const { return m_requestBytes; }
    size_t responseBytes() const { return m_responseBytes; }

private:
    static constexpr Instant notWaiting = Instant::max();

    // For the request that the newcomer's connection is receiving.
    bool makeRoom(size_t requestBytes, const Account* newcomer, Instant now);
    Account& largestResponses() const;
    bool reclaimLargest(const Account* newcomer, Instant now);
    void giveUpRequest(Account&);
    void close(Account&);
    size_t total() const { return m_requestBytes + m_responseBytes; }
    size_t totalLimit() const { return m_limits.requestBytes + m_limits.responseBytes; }

    CallerBudgetLimits m_limits;
    size_t m_requestBytes = 0;
    size_t m_responseBytes = 0;
    std::set<Account*> m_accounts;
};

}
