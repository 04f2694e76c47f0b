#include "decisions/DocumentRepeats.h"

namespace cumindale {

namespace {

    constexpr Millis period { 1'000 };
    constexpr size_t maxBytesInPeriod = 8'000'000; // a third of what a strong host's link carries

}

bool DocumentRepeats::mayRepeat(const DocumentRequest& request, Instant now)
{
    if (now - m_periodBegin >= period) {
        m_periodBegin = now;
        m_periodBytes = 0;
    }
    if (request.known >= request.revision || m_periodBytes + request.bytes > maxBytesInPeriod)
        return false;
    if (!request.known) {
        int64_t& sent = m_sent[request.host];
        if (sent >= request.revision)
            return false;
        sent = request.revision;
    }
    m_periodBytes += request.bytes;
    return true;
}

void DocumentRepeats::forget(std::string_view host)
{
    const auto found = m_sent.find(host);
    if (found != m_sent.end())
        m_sent.erase(found);
}

}
