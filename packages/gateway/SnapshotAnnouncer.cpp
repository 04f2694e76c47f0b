#include "gateway/SnapshotAnnouncer.h"

#include "base/Log.h"
#include "decisions/FleetTiming.h"

#include <algorithm>
#include <utility>

namespace cumindale {

namespace {

    // Fewer hosts are answered one by one: all others would be sent what they have.
    constexpr size_t minPublished = 9;
    constexpr size_t hostsPerLacking = 8;
    // Without a further host that lacks something, before it is published.
    constexpr Millis quietPeriod { 250 };
    // What has changed since follows with the answer to the next report. Making a snapshot of 10,000 servers takes a
    // twentieth of a second of a core.
    constexpr Millis maxAge { 500 };
    constexpr Millis deliveryTime { 5'000 }; // of a publication, over the coordinator's link and then a relay's

    wire::StoreItem itemOf(const KeyValue& value)
    {
        wire::StoreItem item;
        item.key = value.key;
        item.value = value.value;
        item.revision = value.modRevision;
        item.ageMillis = static_cast<int32_t>(std::clamp<int64_t>(value.age.count(), 0, INT32_MAX));
        return item;
    }

}

SnapshotAnnouncer::SnapshotAnnouncer(const PlatformView& view, const ReportingHosts& hosts, Announcer& announcer)
    : m_view(view)
    , m_hosts(hosts)
    , m_announcer(announcer)
{
}

void SnapshotAnnouncer::clear()
{
    m_snapshot = {};
    m_lacking.clear();
    m_snapshotLacking = false;
    m_sentTo.clear();
}

bool SnapshotAnnouncer::isWidespread() const
{
    return m_lacking.size() >= minPublished && m_lacking.size() * hostsPerLacking >= m_hosts.size();
}

// By then all hosts of the fleet have reported, if they started together.
Millis SnapshotAnnouncer::longestDelay() const
{
    const auto& stored = m_view.storedFleetSize();
    const size_t hosts = std::max(m_hosts.size(), stored ? stored->hosts : 0);
    return fleetTiming(hosts).reportInterval + quietPeriod;
}

wire::News SnapshotAnnouncer::makeSnapshot() const
{
    std::vector<wire::StoreItem> items;
    for (const auto& value : m_view.platformItems())
        items.push_back(itemOf(value));
    wire::News snapshot;
    snapshot.isSnapshot = true;
    snapshot.lastChange = m_view.lastChange();
    snapshot.packedItems.push_back(packItems(items));
    return snapshot;
}

const wire::News& SnapshotAnnouncer::snapshotAt(Instant now)
{
    const bool outdated = m_snapshot.lastChange < m_view.lastChange() && now - m_madeAt > maxAge;
    if (m_snapshot.packedItems.empty() || outdated) {
        m_snapshot = makeSnapshot();
        m_madeAt = now;
    }
    for (auto& items : m_snapshot.packedItems)
        items.ageMillis = static_cast<int32_t>((now - m_madeAt).count());
    return m_snapshot;
}

bool SnapshotAnnouncer::leavesToRelays(const wire::HostReport& report, Instant now)
{
    if (!report.readsPacked)
        return false;
    if (!report.needsSnapshot && !m_announcer.needsWholeTable(report, m_view.tables())) {
        m_lacking.erase(report.sender);
        m_sentTo.erase(report.sender);
        return false;
    }
    if (m_sentTo.count(report.sender) && now - m_publishedAt <= deliveryTime)
        return true;
    if (m_lacking.empty())
        m_firstAskedAt = now;
    if (m_lacking.insert(report.sender).second)
        m_lastAskedAt = now;
    m_snapshotLacking |= report.needsSnapshot;
    return isWidespread();
}

void SnapshotAnnouncer::addSnapshot(
    const wire::HostReport& report, bool mayBeLarge, Instant now, wire::HostAdvice& advice)
{
    if (!report.needsSnapshot)
        return;
    advice.missed.items.clear();
    advice.missed.packedItems.clear();
    if (!mayBeLarge) {
        advice.missedLater = true;
        return;
    }
    const wire::News& snapshot = snapshotAt(now);
    advice.missed.isSnapshot = true;
    advice.missed.lastChange = snapshot.lastChange;
    advice.missed.packedItems = snapshot.packedItems;
}

void SnapshotAnnouncer::publishIfDue(Instant now)
{
    if (!isWidespread())
        return;
    if (now - m_lastAskedAt < quietPeriod && now - m_firstAskedAt < longestDelay())
        return;
    wire::News news = m_snapshotLacking ? snapshotAt(now) : wire::News();
    for (const auto& [service, table] : m_view.tables())
        news.packedTables.push_back(m_announcer.packed(*table));
    logChange(LogLevel::Info, "snapshot-published",
        { { "lacking", m_lacking.size() }, { "hosts", m_hosts.size() }, { "entries", m_snapshotLacking },
            { "bytes", bytesOf(news) } });
    m_announcer.publishSnapshot(news);
    m_sentTo = std::exchange(m_lacking, {});
    m_snapshotLacking = false;
    m_publishedAt = now;
}

}
