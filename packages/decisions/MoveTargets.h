// Ranks the servers that can take ranges of keys from others, by the keys that they have for each slot.
//
// Load pattern: some hundreds of several thousand servers leave at the same moment, and each of their ranges needs
// another owner. A search through all ranges and servers for each of them holds the coordinator's loop for seconds, and
// its leadership lapses meanwhile.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

namespace cumindale {

class MoveTargets {
public:
    // `avoided`: it is chosen only if all others are as well. The name must outlive this object.
    void add(std::string_view server, unsigned slots, uint32_t keys, bool avoided);
    // The server with the fewest keys for each slot but `except`; of several the first by name; empty: there is none.
    std::string_view best(std::string_view except) const;
    void moveKeys(std::string_view from, std::string_view to, uint32_t keys); // servers that weren't added are ignored

private:
    struct Candidate {
        unsigned slots = 1;
        int64_t keys = 0;
        bool avoided = false;
    };
    using Rank = std::tuple<bool, double, std::string_view>; // best first

    static Rank rankOf(std::string_view server, const Candidate&);
    void addKeys(std::string_view server, int64_t keys);

    std::map<std::string_view, Candidate> m_candidates;
    std::set<Rank> m_ranks;
};

}
