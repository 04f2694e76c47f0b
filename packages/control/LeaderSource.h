// The elected leader (the assigner or the coordinator) as this host knows it from the store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cumindale {

struct LeaderView {
    std::string host; // empty: no leader
    std::string nonce; // random value of the campaign that it won
    std::string address; // "IP:port" of its peer port; empty if hosts find each other through a list
    int64_t modRevision = 0;
};

class LeaderSource {
public:
    virtual ~LeaderSource() = default;
    virtual bool knowsLeader() const = 0; // the leader's key has been read; leader() may be out of date
    virtual const LeaderView& leader() const = 0;
};

// The value of the leader key.
std::string encodeLeader(const LeaderView&);
LeaderView decodeLeader(std::string_view text, int64_t modRevision); // no leader if the text is malformed

}
