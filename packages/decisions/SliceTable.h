// Who owns which keys of one service.
//
// A key hashes to a point in a space of 2^64 points. The table cuts the space into slices without gaps; each
// slice has at most one owner. Nothing is kept per key.
//
//     points   0 ........ b1 ........ b2 ........ 2^64
//     slices   [slice 0   )[slice 1   )[slice 2   )
//
// Tables are immutable once committed: the assigner makes the next version, everybody else reads.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

enum class SliceState : uint8_t {
    Serving, // `owner` may be sent new work
    Stopping, // `owner` may still have work in flight; nobody gets new work
    Unowned, // nobody has it; nothing is in flight
};

using ServerIndex = uint32_t;
constexpr ServerIndex noServer = UINT32_MAX;

struct Slice {
    uint64_t begin = 0; // first point; the slice ends where the next one begins
    uint64_t fence = 0; // grows with every new owner; a server refuses lower ones
    uint64_t stoppedInVersion = 0; // version that set Stopping; 0 unless Stopping
    ServerIndex owner = noServer; // into SliceTable::servers
    ServerIndex successor = noServer; // while Stopping: who is to own it next, noServer if undecided
    SliceState state = SliceState::Unowned;

    bool operator==(const Slice&) const = default;
};

struct SliceTable {
    std::string service;
    uint64_t version = 0; // 0: nothing committed yet
    uint64_t nextFence = 1; // fence for the next new owner in this service
    // Hosts give a dispatch by this version at most `workLimit`. When operators lower it, dispatches by older versions
    // may still take longer: every wait counts `inFlightWorkLimit` until those have died out.
    Millis workLimit { 1000 };
    Millis inFlightWorkLimit { 1000 }; // at least workLimit
    uint64_t loweredInVersion = 0; // version that lowered workLimit; 0 if inFlightWorkLimit is the same
    std::vector<std::string> servers; // names; slices refer to them by index
    std::vector<Slice> slices; // sorted by begin; the first begins at 0

    bool operator==(const SliceTable&) const = default;

    // --- Reading
    size_t indexOf(uint64_t point) const; // slice that holds the point; the table must not be empty
    uint64_t lastPointOf(size_t index) const; // inclusive
    std::string_view serverName(ServerIndex) const; // empty for noServer

    // --- Editing (the assigner's working copy)
    ServerIndex internServer(std::string_view name); // index of the name, added if new
    size_t splitAt(uint64_t point); // makes a slice begin at the point, with the same owner and fence; its index
};

// What is wrong with a table, or empty. Decoded tables are checked before they are used.
std::string_view validationError(const SliceTable&);

// Finds slices by point in constant expected time: the top bits of the point choose a short run of slices.
// Built once per adopted table; valid while the table lives.
class SliceIndex {
public:
    explicit SliceIndex(const SliceTable&);
    size_t indexOf(uint64_t point) const;

private:
    const SliceTable* m_table;
    unsigned m_shift;
    std::vector<uint32_t> m_firstSlice; // for each bucket of points, the slice that holds its first point
};

}
