// Requests that crash the servers that run them, as the routing thread of a host deals with them.
//
// Gives each request its fingerprints, finds out after a lost response whether the server went away, and tells which
// requests must not be retried or must be refused. decisions/CrashEvidence.h describes how the evidence is weighed.
// Everything here runs on one thread.
#pragma once

#include "base/ErrorKind.h"
#include "base/Metrics.h"
#include "base/Time.h"
#include "callers/CallerServer.h"
#include "decisions/CrashEvidence.h"
#include "gateway/Messages.h"
#include "gateway/Upstream.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// True if the request was sent and got no response.
bool mayHaveCrashedServer(ErrorKind);

// The fingerprints of one request, computed on demand.
//
// Fingerprints cover what stays the same when a request is repeated. They exclude the id, the time left and the
// caller's address, which changes with the proxy or the connection. The cause of a crash may be the path alone, with
// any query, or path and query together: a target with a query has a fingerprint for each case.
class RequestFingerprints {
public:
    RequestFingerprints(const CallerRequest&, uint64_t seed); // the request must outlive this

    const std::vector<Fingerprint>& all() const; // never empty; the whole request's first

private:
    const CallerRequest& m_request;
    uint64_t m_seed;
    mutable std::vector<Fingerprint> m_fingerprints; // empty until needed
};

struct RequestCrashOptions {
    std::string fingerprintKey; // the same on all hosts
    Millis connectTimeout { 0 }; // of the connection that shows whether a server still runs
};

class RequestCrashes {
public:
    using EarlyReport = std::function<void()>; // called when there is news that can't wait for the next report
    // Whether a server (id) that accepts no connection of this host has gone, rather than this host's path to it.
    using GoneCheck = std::function<boost::asio::awaitable<bool>(std::string)>;

    RequestCrashes(
        boost::asio::any_io_executor, const Clock&, Metrics&, const RequestCrashOptions&, EarlyReport, GoneCheck);

    // --- From the coordinator
    void apply(const CrashUpdate&);
    void repeatToNewCoordinator(); // a new coordinator has none of the reports that its predecessor received

    // --- Queries
    RequestFingerprints fingerprintsOf(const CallerRequest&) const; // the request must outlive the result
    Fingerprint relevantFingerprint(const RequestFingerprints&) const; // the quarantined one, if any; else the first
    bool isQuarantined(const RequestFingerprints&) const; // must be refused
    bool isSuspect(const RequestFingerprints&) const; // suspected of crashing servers, so it must not be retried

    // --- Events on this host
    void recordAnswered(const RequestFingerprints&, Instant now); // by a server, with any status
    // The exchange failed, and not because this host cancelled it. Errors that a crash can't explain are ignored.
    void recordLostResponse(const RequestFingerprints&, const std::shared_ptr<Upstream>&, ErrorKind);
    // Reports the requests that were at the server when it went away: one of them may have crashed it.
    void recordServerGone(const Upstream&, std::string_view why);

    // While this host reaches no server, what it loses says nothing about the servers.
    void setCutOff(bool);

    // --- Reports
    void addTo(GatewayReport&, Instant now); // what has not been reported yet

private:
    void checkAfterLostConnection(const std::shared_ptr<Upstream>&, Instant now);
    boost::asio::awaitable<void> checkReachable(std::shared_ptr<Upstream>); // by a new connection

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    Metrics& m_metrics;
    uint64_t m_fingerprintSeed;
    Millis m_connectTimeout;
    EarlyReport m_reportEarly;
    GoneCheck m_confirmGone;
    bool m_cutOff = false;
    HostCrashTracker m_tracker;
};

}
