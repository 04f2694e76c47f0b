// The table of which server holds which keys, for a service whose servers enforce their grants.
//
// Keys are numbers from 0 to 65535, and the table divides them into ranges without gaps. The coordinator writes a table
// to the store before it sends any order that depends on it. Hosts route requests by the table, but it is only a hint:
// the grant at the server decides whether a request is served.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cumindale {

constexpr uint32_t keySpaceSize = 65'536;

// The state of a moving range's holder.
enum class HolderState : uint8_t {
    Releasing, // the holder is releasing the range or has released it, which takes milliseconds
    Lost, // the holder answers neither hosts nor the coordinator: its lease must expire
    Unreachable, // the holder answers hosts but not the coordinator: it serves until its lease expires, then refuses
};

struct KeyRange {
    uint32_t first = 0;
    uint32_t last = keySpaceSize - 1; // inclusive
    std::string holder; // server id; empty: no holder yet
    uint64_t fence = 0; // fencing token of the holder's grant
    std::string next; // id of the server that the range moves to; empty: not moving
    uint64_t nextFence = 0;
    HolderState holderState = HolderState::Releasing; // only for a moving range

    bool operator==(const KeyRange&) const = default;
    bool moving() const { return !next.empty(); }
    uint32_t size() const { return last - first + 1; }
};

// Ordered by term, then by edition within a term.
struct TableEdition {
    int64_t term = 0; // of the coordinator that made the table
    uint64_t edition = 0;

    bool operator==(const TableEdition& other) const { return term == other.term && edition == other.edition; }
    bool operator<(const TableEdition& other) const
    {
        return term != other.term ? term < other.term : edition < other.edition;
    }
};

struct GrantTable {
    std::string service;
    TableEdition edition;
    std::string coordinator; // host that made the table
    uint64_t highestFence = 0; // no grant has carried a higher fence
    Millis longestLease { 0 }; // no grant has had a longer lease; 0: it was written by a version with a fixed lease
    std::vector<KeyRange> ranges; // in ascending order of keys, without gaps

    const KeyRange* find(uint32_t key) const; // null only if the table is empty
};

// The difference between two editions of a table: the ranges of the later one that the earlier one doesn't have.
struct GrantTableChange {
    std::string service;
    TableEdition from;
    TableEdition to;
    std::vector<KeyRange> ranges; // in ascending order; each replaces the ranges that lie within its keys
};

GrantTableChange changeBetween(const GrantTable& earlier, const GrantTable& later);
GrantTable applyChange(const GrantTable&, const GrantTableChange&); // the table must be of the edition `from`

}
