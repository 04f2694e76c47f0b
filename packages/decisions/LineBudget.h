// How many log lines a host may write about single requests, shared by kinds of line.
//
// Load pattern: thousands of refusals of one kind in a second, such as of routes that don't exist, and a few of another
// kind, whose lines are the ones that are needed. Half of the lines are for whichever kind comes first. The other half
// is divided evenly, so that each kind has lines of its own. In total there are never more.
#pragma once

#include "base/Time.h"
#include "decisions/TokenBucket.h"

#include <cstddef>
#include <vector>

namespace cumindale {

class LineBudget {
public:
    // `burst`: lines that may be written at once, after a pause or at the start.
    LineBudget(size_t kinds, double linesPerSecond, double burst);

    bool take(size_t kind, Instant now); // one line; false: it must be left out

private:
    TokenBucket m_shared;
    std::vector<TokenBucket> m_own; // by kind
};

}
