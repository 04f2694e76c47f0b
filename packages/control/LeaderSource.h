// Who holds the office of the one coordinator, as this host knows it from the store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cumindale {

struct LeaderView {
    std::string host; // empty: nobody
    std::string nonce; // of the election that it won
    std::string address; // "IP:port" of its peer port; empty where hosts know each other from a list
    int64_t modRevision = 0;
};

class LeaderSource {
public:
    virtual ~LeaderSource() = default;
    virtual int64_t revision() const = 0; // highest that the store ever showed; 0: never read
    virtual const LeaderView& leader() const = 0;
};

// The value of the leader key.
std::string encodeLeader(const LeaderView&);
LeaderView decodeLeader(std::string_view text, int64_t modRevision); // a malformed one names nobody

}
