// Who holds which keys of a service whose servers enforce what they were granted.
//
// The keys are numbers from 0 to 65535. The table cuts them into ranges without gaps. One coordinator writes it to
// the store before it acts on it; hosts route by it. It is a hint for hosts: the grant at the server decides.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cumindale {

constexpr uint32_t keySpaceSize = 65'536;

// What the holder of a moving range does.
enum class HolderState : uint8_t {
    Releasing, // it is asked to, or has: a matter of milliseconds
    Lost, // it answers nobody: its hold must run out
    Unreachable, // it answers hosts but not the coordinator: it serves until its hold runs out, and then refuses
};

struct KeyRange {
    uint32_t first = 0;
    uint32_t last = keySpaceSize - 1; // included
    std::string holder; // server id; empty: nobody yet
    uint64_t fence = 0; // of the holder's grant
    std::string next; // server id to which it moves; empty: it stays
    uint64_t nextFence = 0;
    HolderState holderState = HolderState::Releasing; // of a moving range

    bool operator==(const KeyRange&) const = default;
    bool moving() const { return !next.empty(); }
    uint32_t size() const { return last - first + 1; }
};

// Later terms are newer; within a term a higher edition is.
struct TableEdition {
    int64_t term = 0; // of the coordinator that made it
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
    std::string coordinator; // host that made it
    uint64_t highestFence = 0; // no grant ever carried a higher one
    std::vector<KeyRange> ranges; // ascending, without gaps

    const KeyRange* find(uint32_t key) const; // null only in an empty table
};

// What differs between two editions of a table: the ranges of the later one that the earlier one doesn't have.
struct GrantTableChange {
    std::string service;
    TableEdition from;
    TableEdition to;
    std::vector<KeyRange> ranges; // ascending; each replaces whatever lies in its span
};

GrantTableChange changeBetween(const GrantTable& earlier, const GrantTable& later);
GrantTable applyChange(const GrantTable&, const GrantTableChange&); // of the edition that the change is from

}
