#include "control/Election.h"

#include "base/Log.h"
#include "base/Random.h"
#include "resources/ResourceCodec.h"

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis campaignCheckInterval { 500 };
    constexpr Millis maxCampaignJitter { 50 };
    constexpr int64_t keepalivesPerLease = 3;
    constexpr Millis stepDownPause { 3'000 }; // enough for another host to be elected and take over

    // Built outside the coroutines, because g++ 12 miscompiles initializer lists of temporaries inside coroutines.
    std::vector<Compare> noLeaderExists() { return { { leaderKey(), 0 } }; }

    std::vector<WriteOperation> leaderWrite(const std::string& value, int64_t lease)
    {
        return { { leaderKey(), value, false, lease } };
    }

}

Election::Election(asio::any_io_executor executor, const Clock& clock, ElectionOptions options, Store& store,
    const LeaderSource& view, Metrics& metrics)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_store(store)
    , m_view(view)
    , m_writes(metrics.counter("store_writes_election"))
    , m_won(metrics.counter("elections_won"))
    , m_changed(std::move(executor))
{
}

bool Election::mayAct() const { return m_modRevision && m_clock.now() < m_validUntil; }

Compare Election::fence() const { return { leaderKey(), m_modRevision }; }

asio::awaitable<void> Election::run()
{
    for (;;) {
        const bool noLeader = m_view.knowsLeader() && m_view.leader().host.empty();
        if (m_mayCampaign && noLeader && m_clock.now() >= m_campaignNotBefore && co_await campaign())
            co_await keepLeadership();
        else
            co_await m_changed.wait(campaignCheckInterval);
    }
}

asio::awaitable<bool> Election::campaign()
{
    // The delay keeps hosts from campaigning all at the same time.
    Millis delay = randomUpTo(maxCampaignJitter);
    if (m_options.campaignDelay)
        delay = m_options.campaignDelay();
    co_await sleepFor(delay);
    constexpr Millis deferral { 1'000 }; // longer than an election among other hosts takes
    if (m_options.defersToOthers && m_options.defersToOthers())
        co_await sleepFor(deferral);
    if (!m_view.leader().host.empty())
        co_return false;
    m_nonce = std::to_string(randomNumber());
    const Instant askedAt = m_clock.now();
    m_writes.add();
    const LeaseReply lease = co_await m_store.grantLease(m_options.lease, m_options.callTimeout);
    if (lease.status != StoreStatus::Ok)
        co_return false;
    m_leaseId = lease.id;
    const auto noLeader = noLeaderExists();
    const auto writes = leaderWrite(encodeLeader({ m_options.host, m_nonce, m_options.address }), m_leaseId);
    m_writes.add();
    const TxnReply reply = co_await m_store.txn(noLeader, writes, m_options.callTimeout);
    if (reply.status == StoreStatus::Ok && reply.succeeded) {
        m_modRevision = reply.revision;
    } else if (reply.status == StoreStatus::Unavailable) {
        // The answer was lost, and the write may have taken effect. If the stored value has this campaign's nonce, it
        // did.
        const RangeReply found = co_await m_store.range(leaderKey(), false, m_options.callTimeout);
        const bool wonByThisHost = !found.values.empty()
            && found.values.front().value == encodeLeader({ m_options.host, m_nonce, m_options.address });
        m_modRevision = wonByThisHost ? found.values.front().modRevision : 0;
    }
    if (!m_modRevision) {
        m_writes.add();
        co_await m_store.revokeLease(m_leaseId, m_options.callTimeout);
        co_return false;
    }
    m_confirmedAt = askedAt;
    m_validUntil = askedAt + m_options.lease;
    m_won.add();
    logChange(LogLevel::Info, "assigner-elected", { { "term", m_modRevision } });
    notifyChange();
    co_return true;
}

asio::awaitable<void> Election::keepLeadership()
{
    const Millis interval = m_options.lease / keepalivesPerLease;
    while (m_modRevision) {
        co_await sleepFor(interval);
        if (!m_modRevision)
            break; // gave up the leadership meanwhile
        const Instant askedAt = m_clock.now();
        m_writes.add();
        const LeaseReply kept = co_await m_store.keepLeaseAlive(m_leaseId, interval * 2);
        if (!m_modRevision)
            break;
        if (kept.status == StoreStatus::Ok && kept.ttl.count() > 0) {
            m_confirmedAt = askedAt;
            m_validUntil = askedAt + m_options.lease;
            continue;
        }
        const bool expired = kept.status == StoreStatus::Ok;
        const bool replaced = !m_view.leader().host.empty() && m_view.leader().modRevision > m_modRevision;
        const bool vacated = m_view.leader().host.empty() && m_view.leader().modRevision > m_modRevision;
        if (!expired && !replaced && !vacated)
            continue; // no answer: this host may still be the leader when the store is back
        logChange(LogLevel::Warning, "assigner-deposed", { { "term", m_modRevision } });
        m_modRevision = 0;
        notifyChange();
    }
    if (std::exchange(m_steppedDown, false))
        co_await m_store.revokeLease(m_leaseId, m_options.callTimeout);
}

void Election::notifyChange()
{
    if (m_options.onLeadershipChange)
        m_options.onLeadershipChange();
}

void Election::stepDown()
{
    m_steppedDown = m_modRevision != 0;
    m_campaignNotBefore = m_clock.now() + stepDownPause;
    m_modRevision = 0;
}

asio::awaitable<bool> Election::resign()
{
    m_mayCampaign = false;
    if (!m_modRevision)
        co_return true;
    const StoreStatus status = co_await m_store.revokeLease(m_leaseId, m_options.callTimeout);
    if (status != StoreStatus::Ok)
        co_return false;
    m_modRevision = 0;
    co_return true;
}

}
