// The part of the PlatformFollower that decides whether this host reads all entries of the store, or awaits the
// coordinator's snapshot of them.
#include "gateway/PlatformFollower.h"

#include "base/Log.h"
#include "base/Random.h"
#include "decisions/EntryReads.h"
#include "resources/GrantTableCodec.h"

namespace cumindale {

namespace asio = boost::asio;

// The list of hosts tells how many others may be starting at the same moment.
asio::awaitable<void> PlatformFollower::planFirstRead()
{
    Millis backoff = initialBackoff;
    for (;;) {
        const RangeReply reply = co_await m_store.range(listedHostsKey(), false, m_options.callTimeout);
        const bool answered = reply.status == StoreStatus::Ok;
        recordAnswer(answered);
        if (answered) {
            m_hosts = reply.values.empty() ? 0 : decodeListedHosts(reply.values.front().value).size();
            break;
        }
        co_await sleepFor(backoff / 2 + randomUpTo(backoff));
        backoff = std::min(maxBackoff, backoff * 2);
    }
    m_firstEntries = entriesReadAtStart(m_hosts);
    if (!m_firstEntries)
        awaitSnapshot();
}

Millis PlatformFollower::timeToRead() const
{
    if (!m_followsCoordinator)
        return Millis(0);
    if (m_needsSnapshot)
        return std::max(Millis(0), m_turnAt - m_clock.now());
    return m_hasSnapshot ? Millis::max() : Millis(0);
}

void PlatformFollower::awaitSnapshot()
{
    if (std::exchange(m_needsSnapshot, true))
        return;
    const Millis turn = turnToRead(m_hosts, m_view.servers()->size(), m_readPhase);
    m_turnAt = m_clock.now() + turn;
    logChange(LogLevel::Info, "snapshot-awaited",
        { { "hosts", m_hosts }, { "servers", m_view.servers()->size() }, { "turnInMs", turn.count() },
            { "lastChange", m_view.lastChange() } });
    if (!m_hasSnapshot)
        awaitCoordinator();
}

void PlatformFollower::takeSnapshot(int64_t revision, const std::vector<KeyValue>& items, Millis age)
{
    m_needsSnapshot = false;
    if (m_hasSnapshot && m_view.lastChange() >= revision)
        return;
    const auto change = m_view.applyRelayedSnapshot(revision, items);
    logChange(LogLevel::Info, "snapshot-taken",
        { { "items", items.size() }, { "revision", revision }, { "ageMs", age.count() } });
    m_hasSnapshot = true;
    m_polled.onRevision(revision);
    m_changesKnownAt = std::max(m_changesKnownAt, m_clock.now() - age);
    m_changeSink(change);
    m_modeChanged.notifyAll();
}

}
