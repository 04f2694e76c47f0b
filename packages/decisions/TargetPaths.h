// Tells which of the hosts that this one forwards requests to lack the path to which backend servers.
//
// Load pattern: a partition cuts most hosts off from some of the servers, each from others. A host forwards its
// requests for such a server to one of six hosts, of which some lack the path as well. Where connections hang, each
// request that such a host gets waits there for a connection before it is passed on to another one. So a host that
// lacks a path gets no more requests for this server until it says that it reaches it again. It is asked now and then,
// with pauses that grow, and only one host is asked at a time, however many paths are lost.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct TargetPathOptions {
    Millis minPause { 250 }; // between two questions about the same path
    Millis maxPause { 2'000 };
};

struct TargetPath {
    std::string server;
    std::string host;
    bool operator==(const TargetPath&) const = default;
};

class TargetPaths {
public:
    explicit TargetPaths(TargetPathOptions options = {})
        : m_options(options)
    {
    }

    void lacks(const TargetPath&, Instant now); // the host doesn't reach the server
    void reaches(const TargetPath& path) { forget(path); }
    void forget(const TargetPath&); // nothing is known of it any more
    std::vector<std::string> hostsWithout(std::string_view server) const;
    std::optional<TargetPath> nextToAsk(Instant now) const; // the one that has been due longest
    size_t size() const; // paths that are known to be lacking

private:
    struct Lack {
        Millis pause { 0 };
        Instant nextQuestion {};
    };

    TargetPathOptions m_options;
    std::map<std::string, std::map<std::string, Lack, std::less<>>, std::less<>> m_lacks; // by server and host
};

}
