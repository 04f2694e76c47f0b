// A rate with a bounded burst: tokens come in at the rate, and each request takes one.
#pragma once

#include "base/Time.h"

namespace cumindale {

class TokenBucket {
public:
    // What is there stays, up to `most`. The first call begins with none.
    void set(double perSecond, double most, Instant now);
    unsigned take(unsigned wanted, Instant now); // what was taken
    bool has(Instant now) const { return available(now) >= 1; }
    Instant next(Instant now) const; // when one is there
    bool hasSpare(Instant now) const { return available(now) >= 1 + m_most / 2; }

private:
    double available(Instant now) const;

    double m_perSecond = 0;
    double m_most = 0;
    double m_tokens = 0; // as of `m_countedAt`
    Instant m_countedAt {};
};

}
