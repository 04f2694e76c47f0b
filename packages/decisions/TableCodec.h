// Compact binary encoding of a slice table, for values in the store (under 1 MB) and for exchange between hosts.
//
// Layout, with all numbers as LEB128 varints: magic, format, service, version, nextFence, workLimit,
// inFlightWorkLimit - workLimit, loweredInVersion, servers, slices. A slice is encoded as begin minus the previous
// slice's begin, (owner + 1) * 3 + state, and nextFence - fence; a stopping slice has successor + 1 and
// version - stoppedInVersion as well. An FNV-1a checksum (64 bit) follows the last slice.
#pragma once

#include "decisions/SliceTable.h"

#include <optional>
#include <span>
#include <string>

namespace cumindale {

constexpr size_t maxTableBytes = 1'000'000; // size limit of a value in the store

std::string encodeTable(const SliceTable&);
std::optional<SliceTable> decodeTable(std::span<const char> bytes); // nothing if damaged or invalid

}
