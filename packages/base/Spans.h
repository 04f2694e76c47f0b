// Traces: a span for each hop of a request, and W3C Trace Context (`traceparent`, version 00) on the wire.
//
// A host keeps its newest spans in memory; `cumindalectl trace ID` collects those of one request from all hosts.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// Identity that travels with a request.
struct TraceContext {
    uint64_t traceHigh = 0;
    uint64_t traceLow = 0;
    uint64_t span = 0;
};

std::optional<TraceContext> parseTraceparent(std::string_view header);
std::string formatTraceparent(const TraceContext&);
std::string traceId(const TraceContext&); // 32 hexadecimal digits

struct Span {
    TraceContext context;
    uint64_t parent = 0; // 0 for a root
    std::string_view hop; // a literal: "caller", "queue", "dispatch", "relay"
    std::string detail; // service, server or error
    int64_t startMicros = 0; // this host's monotonic clock
    int64_t durationMicros = 0;
};

// Newest spans of this host. Thread-safe.
class SpanLog {
public:
    explicit SpanLog(size_t capacity);
    void add(Span);
    std::vector<Span> ofTrace(std::string_view traceId) const;

private:
    size_t m_capacity;
    mutable std::mutex m_mutex;
    std::vector<Span> m_spans;
    size_t m_next = 0;
};

}
