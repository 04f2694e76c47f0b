// Decides whether the coordinator's answer to a host repeats an operators' document that the host has missed, although
// the other changes that it has missed must wait.
//
// Load pattern: a thousand hosts start or lose their coordinator, while servers register and a document of 100 kB
// changes. Entries of servers wait until the coordinator's link has room again. The document must not, but a copy in
// each answer would fill the link that the entries wait for. So each host is sent a copy only while it lacks the
// document, and all copies together take a part of the link.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cumindale {

struct DocumentRequest {
    std::string host;
    int64_t known = 0; // revision of the document that the host has; 0: it doesn't say
    int64_t revision = 0; // of the newest document
    size_t bytes = 0; // of the newest document
};

class DocumentRepeats {
public:
    // The caller sends the document if this returns true. A host that doesn't say what it has is sent each document
    // once.
    bool mayRepeat(const DocumentRequest&, Instant now);
    void forget(std::string_view host);
    void clear() { m_sent.clear(); }

private:
    std::map<std::string, int64_t, std::less<>> m_sent; // revision by host, of hosts that don't say what they have
    Instant m_periodBegin {};
    size_t m_periodBytes = 0; // in the second that began then
};

}
