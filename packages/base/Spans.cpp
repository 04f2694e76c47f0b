#include "base/Spans.h"

#include <charconv>
#include <cstdio>

namespace cumindale {

namespace {

    constexpr size_t traceparentLength = 55; // "00-" + 32 + "-" + 16 + "-" + 2

    std::optional<uint64_t> parseHex(std::string_view digits)
    {
        uint64_t value = 0;
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (result.ec != std::errc() || result.ptr != digits.data() + digits.size())
            return std::nullopt;
        return value;
    }

}

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() != traceparentLength || !header.starts_with("00-") || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const auto high = parseHex(header.substr(3, 16));
    const auto low = parseHex(header.substr(19, 16));
    const auto span = parseHex(header.substr(36, 16));
    if (!high || !low || !span || (!*high && !*low) || !*span)
        return std::nullopt;
    return TraceContext { *high, *low, *span };
}

std::string formatTraceparent(const TraceContext& context)
{
    char buffer[traceparentLength + 1];
    std::snprintf(buffer, sizeof buffer, "00-%016llx%016llx-%016llx-01",
        static_cast<unsigned long long>(context.traceHigh), static_cast<unsigned long long>(context.traceLow),
        static_cast<unsigned long long>(context.span));
    return buffer;
}

std::string traceId(const TraceContext& context) { return formatTraceparent(context).substr(3, 32); }

SpanLog::SpanLog(size_t capacity)
    : m_capacity(capacity)
{
    m_spans.reserve(capacity);
}

void SpanLog::add(Span span)
{
    std::lock_guard lock(m_mutex);
    if (m_spans.size() < m_capacity) {
        m_spans.push_back(std::move(span));
        return;
    }
    m_spans[m_next] = std::move(span);
    m_next = (m_next + 1) % m_capacity;
}

std::vector<Span> SpanLog::spansOfTrace(std::string_view id) const
{
    std::lock_guard lock(m_mutex);
    std::vector<Span> found;
    for (const auto& span : m_spans) {
        if (traceId(span.context) == id)
            found.push_back(span);
    }
    return found;
}

}
