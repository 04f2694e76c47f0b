// Finds the heaviest keys in a stream with a fixed number of counters: the Space-Saving sketch.
//
// Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams" (2005).
// A key without a counter replaces the key with the lightest one and inherits that weight as its error. Any key heavier
// than total / capacity is guaranteed to have a counter.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace cumindale {

struct HeavyKey {
    uint64_t point = 0;
    uint64_t weight = 0; // between the true weight and the true weight + error
    uint64_t error = 0;
};

class HotKeys {
public:
    explicit HotKeys(size_t capacity);
    void add(uint64_t point, uint64_t weight);
    std::vector<HeavyKey> heaviest(size_t limit) const; // ordered by guaranteed weight (weight - error)
    uint64_t total() const { return m_total; }
    void clear(); // starts a new period

private:
    struct Entry {
        uint64_t weight = 0;
        uint64_t error = 0;
        std::multimap<uint64_t, uint64_t>::iterator order;
    };

    void insert(uint64_t point, uint64_t weight, uint64_t error);

    size_t m_capacity;
    uint64_t m_total = 0;
    std::unordered_map<uint64_t, Entry> m_entries;
    std::multimap<uint64_t, uint64_t> m_order; // weight to point
};

}
