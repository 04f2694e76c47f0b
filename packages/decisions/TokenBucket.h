// Token bucket: tokens are added at a fixed rate up to a capacity, and each request takes one.
#pragma once

#include "base/Time.h"

namespace cumindale {

class TokenBucket {
public:
    // Keeps the present tokens, up to `capacity`. A new bucket is empty.
    void setRate(double perSecond, double capacity, Instant now);
    unsigned take(unsigned wanted, Instant now); // returns the number of tokens taken
    bool hasToken(Instant now) const { return available(now) >= 1; }
    Instant nextTokenAt(Instant now) const; // `now` if there is a token already
    bool hasSpare(Instant now) const { return available(now) >= 1 + m_capacity / 2; }

private:
    double available(Instant now) const;

    double m_perSecond = 0;
    double m_capacity = 0;
    double m_tokens = 0; // as of `m_updatedAt`
    Instant m_updatedAt {};
};

}
