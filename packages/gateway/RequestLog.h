// Log lines about single requests, limited in rate.
//
// Under load there are thousands of refusals, so the rate of log lines is limited, and refusals of one kind leave lines
// for those of others. The next line that is written states how many were left out. Everything here runs on one thread.
#pragma once

#include "base/ErrorKind.h"
#include "base/Metrics.h"
#include "base/Time.h"
#include "decisions/LineBudget.h"

#include <cstdint>
#include <string_view>

namespace cumindale {

struct ExchangeResult;
struct GatewayJob;
class RequestCrashes;

// What the host knew when it decided about a request.
struct KnownEditions {
    int64_t serversAsOf = 0; // GatewayUpdate::serversAsOf
    uint64_t table = 0; // edition of the service's grant table; 0: none
    int64_t rulesAgeMillis = -1; // since the rules were last known to be the newest; -1: never
};

// A request that was refused before it was handled, as far as its header could be parsed.
struct UnhandledRequest {
    ErrorKind error = ErrorKind::None;
    std::string_view id; // from the caller
    std::string_view host; // that the caller asked for, without a port
    int64_t rulesVersion = 0; // that the decision rests on; 0: none
    int64_t rulesAgeMillis = -1; // as in KnownEditions
};

class RequestLog {
public:
    RequestLog(const Clock&, Metrics&, const RequestCrashes&);

    // Whether a line about a request may be written now. Call once for each line and before its fields are collected:
    // counts the line as written or as left out. `kind`: of the refusal that the line is about.
    bool mayLog(ErrorKind kind);
    void writeUnhandled(const UnhandledRequest&);
    // Counts the faults of a server's responses to a request, and logs a response beyond a bound.
    void recordFaults(const GatewayJob&, std::string_view server, const ExchangeResult&);
    void write(std::string_view event, const GatewayJob&, ErrorKind, std::string_view server, const KnownEditions&);

private:
    const Clock& m_clock;
    const RequestCrashes& m_crashes; // for the fingerprints of requests that may have crashed a server
    Metrics& m_metrics;
    Counter& m_staleResponses; // responses of servers to earlier requests
    LineBudget m_lines; // by ErrorKind
    uint64_t m_droppedLines = 0; // since the last line that was written
};

}
