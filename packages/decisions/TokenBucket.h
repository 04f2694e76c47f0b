// A rate with a bounded burst: tokens come in at the rate, and each request takes one.
#pragma once

#include "base/Time.h"

namespace cumindale {

class TokenBucket {
public:
    // What is there stays, up to `most`. The first call begins with none.
    void setRate(double perSecond, double capacity, Instant now);
    unsigned take(unsigned wanted, Instant now); // what was taken
    bool hasToken(Instant now) const { return available(now) >= 1; }
    Instant nextTokenAt(Instant now) const; // when one is there
    bool hasSpare(Instant now) const { return available(now) >= 1 + m_capacity / 2; }

private:
    double available(Instant now) const;

    double m_perSecond = 0;
    double m_capacity = 0;
    double m_tokens = 0; // as of `m_countedAt`
    Instant m_updatedAt {};
};

}
