// Editions of lists that each coordinator counts anew in its term.
#pragma once

#include <cstdint>

namespace cumindale {

constexpr int64_t editionInTerm(int64_t term, uint64_t edition) // higher than any edition of earlier terms
{
    constexpr int64_t editionsPerTerm = 1'000'000;
    return term * editionsPerTerm + static_cast<int64_t>(edition);
}

}
