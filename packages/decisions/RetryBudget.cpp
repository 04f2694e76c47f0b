#include "decisions/RetryBudget.h"

namespace cumindale {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_tokens(options.burst)
{
}

void RetryBudget::deposit() { m_tokens = std::min(m_options.burst, m_tokens + m_options.ratio); }

void RetryBudget::setBurst(double burst)
{
    m_options.burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

bool RetryBudget::tryWithdraw()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
