// Distributed tracing: one span per hop of a request, propagated as W3C Trace Context (`traceparent`, version 00).
//
// Each host keeps its newest spans in memory; `cumindalectl trace ID` collects the spans of one request from all hosts.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// Trace identity that is propagated with a request.
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
    uint64_t parent = 0; // id of the parent span; 0 for a root span
    std::string_view hop; // a string literal: "caller", "queue", "dispatch", "relay"
    std::string detail; // name of the service, server or error
    int64_t startMicros = 0; // on this host's monotonic clock
    int64_t durationMicros = 0;
};

// The newest spans of this host. Thread-safe.
class SpanLog {
public:
    explicit SpanLog(size_t capacity);
    void add(Span);
    std::vector<Span> spansOfTrace(std::string_view traceId) const;

private:
    size_t m_capacity;
    mutable std::mutex m_mutex;
    std::vector<Span> m_spans;
    size_t m_next = 0;
};

}
