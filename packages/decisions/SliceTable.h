// Maps the keys of one service to the servers that own them.
//
// A key hashes to a point in a space of 2^64 points. The table divides the space into contiguous slices; each
// slice has at most one owner. No state is kept per key.
//
//     points   0 ........ b1 ........ b2 ........ 2^64
//     slices   [slice 0   )[slice 1   )[slice 2   )
//
// Committed tables are immutable. Only the assigner creates new versions.
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
    Stopping, // `owner` may still have work in flight; new work is sent to no server
    Unowned, // no owner, and no work in flight
};

using ServerIndex = uint32_t;
constexpr ServerIndex noServer = UINT32_MAX;

struct Slice {
    uint64_t begin = 0; // first point; the slice ends where the next slice begins
    uint64_t fence = 0; // fencing token, raised with every new owner; servers refuse requests with a lower one
    uint64_t stoppedInVersion = 0; // table version that set Stopping; 0 in other states
    ServerIndex owner = noServer; // index into SliceTable::servers
    ServerIndex successor = noServer; // next owner while Stopping; noServer if undecided
    SliceState state = SliceState::Unowned;

    bool operator==(const Slice&) const = default;
};

struct SliceTable {
    std::string service;
    uint64_t version = 0; // 0: no table committed yet
    uint64_t nextFence = 1; // fence of the next owner change in this service
    // `workLimit` is the longest time that a dispatch by this version may take. After operators lower the limit,
    // dispatches by older versions may still take longer; waits use `inFlightWorkLimit` until those have ended.
    Millis workLimit { 1000 };
    Millis inFlightWorkLimit { 1000 }; // at least workLimit
    uint64_t loweredInVersion = 0; // table version that lowered workLimit; 0 if both limits are equal
    std::vector<std::string> servers; // names
    std::vector<Slice> slices; // sorted by begin; the first begins at 0

    bool operator==(const SliceTable&) const = default;

    // --- Reading
    size_t indexOf(uint64_t point) const; // slice that contains the point; the table must not be empty
    uint64_t lastPointOf(size_t index) const; // inclusive
    std::string_view serverName(ServerIndex) const; // empty string for noServer

    // --- Editing (the assigner's working copy)
    ServerIndex internServer(std::string_view name); // returns the index of the name; adds the name if missing
    // Splits the slice that contains the point, so that a slice with the same owner and fence begins there. Returns the
    // index of that slice.
    size_t splitAt(uint64_t point);
};

// Returns what is invalid in a table, or an empty string. Decoded tables are checked before use.
std::string_view validationError(const SliceTable&);

// Finds slices by point in constant expected time: the top bits of the point select a bucket of few slices.
// Built once per adopted table, which must outlive the index.
class SliceIndex {
public:
    explicit SliceIndex(const SliceTable&);
    size_t indexOf(uint64_t point) const;

private:
    const SliceTable* m_table;
    unsigned m_shift;
    std::vector<uint32_t> m_firstSlice; // per bucket of points: the slice that contains the first point
};

}
