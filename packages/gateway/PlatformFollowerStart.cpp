// The part of the PlatformFollower that decides whether this host reads all entries of the store, or awaits the
// coordinator's snapshot of them.
#include "gateway/PlatformFollower.h"

#include "base/Log.h"
#include "base/Random.h"
#include "decisions/EntryReads.h"
#include "resources/FleetSizeCodec.h"

namespace cumindale {

namespace asio = boost::asio;

// The size of the fleet tells how many others may be starting at the same moment, and how much there is to read.
asio::awaitable<void> PlatformFollower::planFirstRead()
{
    Millis backoff = initialBackoff;
    for (;;) {
        const RangeReply reply = co_await m_store.range(fleetSizeKey(), false, m_options.callTimeout);
        const bool answered = reply.status == StoreStatus::Ok;
        recordAnswer(answered);
        if (answered) {
            if (!reply.values.empty())
                m_fleetSize = decodeFleetSize(reply.values.front().value);
            break;
        }
        co_await sleepFor(backoff / 2 + randomUpTo(backoff));
        backoff = std::min(maxBackoff, backoff * 2);
    }
    m_firstEntries = entriesReadAtStart(m_fleetSize);
    if (!m_firstEntries)
        awaitSnapshot();
}

FleetSize PlatformFollower::fleetSize() const
{
    FleetSize size = m_fleetSize.value_or(FleetSize());
    size.hosts = std::max(size.hosts, m_hosts);
    if (m_hasSnapshot)
        size.servers = m_view.servers()->size();
    return size;
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
    const FleetSize size = fleetSize();
    const Millis turn = turnToRead(size, m_readPhase);
    m_turnAt = m_clock.now() + turn;
    logChange(LogLevel::Info, "snapshot-awaited",
        { { "hosts", size.hosts }, { "servers", size.servers }, { "turnInMs", turn.count() },
            { "lastChange", m_view.lastChange() } });
    if (!m_hasSnapshot)
        awaitCoordinator();
}

void PlatformFollower::readWithoutSnapshot()
{
    if (!m_needsSnapshot)
        return;
    m_turnAt = m_clock.now();
    m_modeChanged.notifyAll();
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
