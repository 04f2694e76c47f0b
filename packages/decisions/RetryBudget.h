// Retries spend from a budget that first tries fill: at most `ratio` of them over time, with a small burst.
#pragma once

#include <algorithm>

namespace cumindale {

struct RetryBudgetOptions {
    double ratio = 0.10; // retries for each first try
    double burst = 10; // most retries saved up
};

class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions);
    void deposit(); // call once a request
    void setBurst(double); // what is saved beyond it is lost
    bool tryWithdraw(); // true if one more retry is allowed; it is then spent

private:
    RetryBudgetOptions m_options;
    double m_tokens;
};

}
