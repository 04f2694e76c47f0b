// Compact binary form of a table, for the store's values (under 1 MB) and for deltas between hosts.
//
// Layout, all numbers LEB128 varints: magic, format, service, version, nextFence, limits of work, servers,
// slices. A slice is
// its distance from the one before (delta), state, owner + 1, successor + 1, fence and stop version as
// distances below nextFence and version. A checksum (FNV-1a, 64 bit) ends it.
#pragma once

#include "decisions/SliceTable.h"

#include <optional>
#include <span>
#include <string>

namespace cumindale {

constexpr size_t maxTableBytes = 1'000'000; // the store's limit for one value

std::string encodeTable(const SliceTable&);
std::optional<SliceTable> decodeTable(std::span<const char> bytes); // nothing if damaged or faulty

}
