#include "decisions/CallerBudget.h"

#include <algorithm>

namespace cumindale {

namespace {

    // An ordinary caller sends its request and takes its response within this time, in most cases.
    constexpr Millis minWait { 1'000 };

    constexpr size_t progressParts = 8; // of what a request holds, one is progress

    double costOf(size_t bytes, Instant since, Instant now)
    {
        const bool waits = since != Instant::max() && now - since >= minWait;
        return waits ? static_cast<double>(bytes) * static_cast<double>((now - since).count()) : 0;
    }

}

CallerBudget::Account::Account(CallerBudget& budget, Owner& owner, Instant now)
    : m_budget(budget)
    , m_owner(owner)
    , m_idleSince(now)
{
    m_budget.m_accounts.insert(this);
}

CallerBudget::Account::~Account()
{
    m_budget.m_requestBytes -= m_receiving + m_received;
    m_budget.m_responseBytes -= m_responses;
    m_budget.m_accounts.erase(this);
}

void CallerBudget::Account::waitIdle(Instant since) { m_idleSince = since; }

void CallerBudget::Account::beginRequest(Instant now)
{
    m_idleSince = notWaiting;
    m_receivingSince = now;
    m_progress = 0;
    m_isGivenUp = false;
}

bool CallerBudget::Account::holdRequest(size_t bytes, Instant now)
{
    if (m_isGivenUp)
        return false;
    if (bytes > m_receiving && !m_budget.makeRoom(bytes - m_receiving, this, now))
        return false;
    m_budget.m_requestBytes += bytes - m_receiving;
    m_receiving = bytes;
    return true;
}

void CallerBudget::Account::noteReceived(size_t bytes, Instant now)
{
    if (bytes - m_progress < m_receiving / progressParts)
        return;
    m_progress = bytes;
    m_receivingSince = now;
}

size_t CallerBudget::Account::finishRequest()
{
    const size_t bytes = m_receiving;
    m_received += bytes;
    m_receiving = 0;
    m_receivingSince = notWaiting;
    return bytes;
}

void CallerBudget::Account::dropRequest() { release(finishRequest()); }

void CallerBudget::Account::release(size_t bytes)
{
    m_received -= bytes;
    m_budget.m_requestBytes -= bytes;
}

void CallerBudget::Account::addResponse(size_t bytes, Instant now)
{
    m_responses += bytes;
    m_budget.m_responseBytes += bytes;
    while (m_budget.total() > m_budget.totalLimit() && m_budget.m_responseBytes) {
        if (!m_budget.reclaimLargest(nullptr, now))
            m_budget.close(m_budget.largestResponses());
    }
}

void CallerBudget::Account::removeResponse(size_t bytes)
{
    if (m_isClosed)
        return; // no longer counted
    m_responses -= bytes;
    m_budget.m_responseBytes -= bytes;
}

Instant CallerBudget::Account::waitingSince() const
{
    const bool processing = m_received && m_writingSince == notWaiting;
    return processing ? notWaiting : std::min({ m_idleSince, m_receivingSince, m_writingSince });
}

double CallerBudget::Account::costOfReceiving(Instant now) const
{
    return m_isGivenUp || m_isClosed ? 0 : costOf(m_receiving, m_receivingSince, now);
}

double CallerBudget::Account::costOfResponses(Instant now) const
{
    return m_isClosed ? 0 : costOf(m_responses, m_writingSince, now);
}

bool CallerBudget::admitConnection(Instant now)
{
    if (m_accounts.size() < m_limits.connections)
        return true;
    Account* longest = nullptr;
    for (Account* account : m_accounts) {
        const bool waits = !account->m_isClosed && account->waitingSince() != notWaiting;
        if (waits && (!longest || account->waitingSince() < longest->waitingSince()))
            longest = account;
    }
    if (!longest || now - longest->waitingSince() < minWait)
        return false;
    close(*longest);
    return true;
}

bool CallerBudget::admitResponse(Instant now)
{
    while (m_responseBytes >= m_limits.responseBytes) {
        const auto largest = std::max_element(m_accounts.begin(), m_accounts.end(),
            [now](const Account* a, const Account* b) { return a->costOfResponses(now) < b->costOfResponses(now); });
        if (largest == m_accounts.end() || (*largest)->costOfResponses(now) == 0)
            return false;
        close(**largest);
    }
    return true;
}

bool CallerBudget::makeRoom(size_t requestBytes, const Account* newcomer, Instant now)
{
    if (newcomer->m_receiving + requestBytes > m_limits.requestBytes)
        return false;
    while (m_requestBytes + requestBytes > m_limits.requestBytes || total() + requestBytes > totalLimit()) {
        if (!reclaimLargest(newcomer, now))
            return false;
    }
    return true;
}

bool CallerBudget::reclaimLargest(const Account* newcomer, Instant now)
{
    double most = 0;
    Account* largest = nullptr;
    for (Account* account : m_accounts) {
        const double cost = std::max(account->costOfReceiving(now), account->costOfResponses(now));
        if (account == newcomer || cost <= most)
            continue;
        most = cost;
        largest = account;
    }
    if (!largest)
        return false;
    if (largest->costOfReceiving(now) == most)
        giveUpRequest(*largest);
    else
        close(*largest);
    return true;
}

CallerBudget::Account& CallerBudget::largestResponses() const
{
    return **std::max_element(m_accounts.begin(), m_accounts.end(),
        [](const Account* a, const Account* b) { return a->m_responses < b->m_responses; });
}

void CallerBudget::giveUpRequest(Account& account)
{
    account.dropRequest();
    account.m_isGivenUp = true;
    account.m_owner.giveUpRequest();
}

void CallerBudget::close(Account& account)
{
    account.dropRequest();
    m_responseBytes -= account.m_responses;
    account.m_responses = 0;
    account.m_isGivenUp = true;
    account.m_isClosed = true;
    account.m_owner.closeForOthers();
}

}
