// Limits retries to a fraction of first attempts: each first attempt adds `ratio` tokens, up to a small burst, and each
// retry takes one.
#pragma once

#include <algorithm>

namespace cumindale {

struct RetryBudgetOptions {
    double ratio = 0.10; // retries per first attempt
    double burst = 10; // maximum number of tokens
};

class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions);
    void deposit(); // call once per request, at its first attempt
    void setBurst(double); // tokens above it are discarded
    bool tryWithdraw(); // true if a retry is allowed; takes its token

private:
    RetryBudgetOptions m_options;
    double m_tokens;
};

}
