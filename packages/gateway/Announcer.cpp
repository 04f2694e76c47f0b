#include "gateway/Announcer.h"

#include "peers/Deflate.h"
#include "resources/GrantTableCodec.h"

#include <algorithm>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr double centi = 100;
    // Per table, kept for hosts that missed them. At one change every 0.4 s these are the changes of the last six
    // seconds, some 20 kB.
    constexpr size_t maxRecentChanges = 16;

    // The entries of some thousand servers that register at once. Packed they are a fifth, which the smallest links
    // carry within half of the time that a report waits for its answer.
    constexpr ChangeHistoryOptions historyOptions { 1'048'576, ChangeHistoryOptions {}.maxValueBytes };
    constexpr size_t maxUnpackedBytes
        = ChangeHistoryOptions {}.maxBytes; // in the answer to a host that reads none packed

    // Large values are deflated. The document of routes, which is sent to every host, has a megabyte and shrinks to a
    // tenth. Uncompressed, a relay with ten members behind a small link would need more time to forward it than a
    // configuration may take to be in force.
    ItemChange changeOf(const WatchEvent& event)
    {
        constexpr size_t minBytesToDeflate = 4'096; // servers' entries have some 300 bytes
        ItemChange change { event.value.key, event.value.value, event.value.modRevision, event.erased };
        if (change.value.size() > minBytesToDeflate) {
            change.plainBytes = change.value.size();
            change.value = deflated(change.value);
        }
        return change;
    }

    std::vector<wire::StoreItem> itemsOf(const std::vector<ItemChange>& changes)
    {
        std::vector<wire::StoreItem> items;
        items.reserve(changes.size());
        for (const auto& change : changes) {
            wire::StoreItem& item = items.emplace_back();
            item.key = change.key;
            item.value = change.value;
            item.revision = change.revision;
            item.erased = change.erased;
            item.plainBytes = static_cast<int32_t>(change.plainBytes);
            item.leftOutBytes = static_cast<int32_t>(change.leftOutBytes);
        }
        return items;
    }

}

Announcer::Announcer(asio::any_io_executor executor, const Clock& clock, Counter& bytesSent)
    : m_news(std::move(executor), clock, bytesSent)
    , m_history(historyOptions)
{
}

void Announcer::updateHost(const wire::HostReport& report)
{
    m_news.updateHost(
        report.sender, report.address, report.dataCentre, report.strengthCenti / centi, report.readsPacked);
}

void Announcer::removeHost(std::string_view host) { m_news.removeHost(host); }

void Announcer::onTermEnded()
{
    m_news.clear();
    m_published.clear();
    m_packed.clear();
    m_recentChanges.clear();
}

void Announcer::onStoreChanges(
    int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>& events, bool isLeader)
{
    std::vector<ItemChange> changes;
    changes.reserve(events.size());
    for (const auto& event : events)
        changes.push_back(changeOf(event));
    m_history.add(afterChange, lastChange, changes);
    if (!isLeader)
        return;
    // News reach the hosts within a few ms and without load on the store.
    wire::News news;
    news.afterChange = afterChange;
    news.lastChange = lastChange;
    news.items = itemsOf(changes);
    m_news.publish(news);
}

bool Announcer::hasPublished(const std::string& service, uint64_t edition) const
{
    const auto published = m_published.find(service);
    return published != m_published.end() && published->second.edition.edition >= edition;
}

void Announcer::publish(const GrantTable& table)
{
    const auto published = m_published.find(table.service);
    if (published == m_published.end()) {
        m_published.emplace(table.service, table);
        // Through the relays, since the coordinator's link can't carry thousands of ranges to each of a thousand hosts
        // within seconds, and answers that wait for it would fill its memory.
        wire::News news;
        news.packedTables.push_back(packed(table));
        m_news.publish(news);
        return;
    }
    GrantTable& latest = published->second;
    wire::News news;
    news.tables.push_back(encodeGrantChange(changeBetween(latest, table)));
    m_news.publish(news);
    auto& recent = m_recentChanges[table.service];
    recent.push_back({ latest.edition, news.tables.front() });
    if (recent.size() > maxRecentChanges)
        recent.pop_front();
    latest = table;
}

void Announcer::publishCrowded(const std::vector<std::string>& servers)
{
    wire::News news;
    news.crowded = servers;
    m_news.publish(news);
}

void Announcer::publishCrashes(int64_t edition, std::vector<int64_t> suspects, std::vector<int64_t> quarantined)
{
    wire::News news;
    news.crashesEdition = edition;
    news.suspects = std::move(suspects);
    news.quarantined = std::move(quarantined);
    m_news.publish(news);
}

const wire::PackedTable& Announcer::packed(const GrantTable& table)
{
    PackedEdition& made = m_packed[table.service];
    if (made.table.value.empty() || made.edition < table.edition || table.edition < made.edition) {
        const std::string plain = encodeGrantTable(table);
        made.edition = table.edition;
        made.table.serviceName = table.service;
        made.table.value = deflated(plain);
        made.table.plainBytes = static_cast<int32_t>(plain.size());
    }
    return made.table;
}

void Announcer::addMissedChanges(
    const wire::HostReport& report, const Tables& tables, bool mayBeLarge, wire::HostAdvice& advice)
{
    // Without these changes the host would have to read the whole store, which takes a small link longer than the
    // interval between changes.
    const auto missed = m_history.changesSince(report.lastChange, report.readsPacked ? SIZE_MAX : maxUnpackedBytes);
    if (missed && !missed->empty())
        addMissedItems(*missed, report, mayBeLarge, advice);
    for (const auto& [name, table] : tables) {
        const auto held = std::find_if(report.services.begin(), report.services.end(),
            [&wanted = name](const wire::ServiceUse& service) { return service.serviceName == wanted; });
        const TableEdition known = held == report.services.end()
            ? TableEdition {}
            : TableEdition { held->term, static_cast<uint64_t>(held->edition) };
        if (known < table->edition)
            addTableUpdate(*table, report, known, mayBeLarge, advice);
    }
}

void Announcer::addMissedItems(const std::vector<ItemChange>& missed, const wire::HostReport& report, bool mayBeLarge,
    wire::HostAdvice& advice) const
{
    wire::News& news = advice.missed;
    news.items = itemsOf(missed);
    const size_t bytes = bytesOf(news.items);
    // When a fleet starts, servers register while hosts read the store, and each host has missed hundreds of entries.
    if (!mayBeLarge && report.readsPacked && bytes > minBytesToPack) {
        news.items.clear();
        advice.missedLater = true;
        return;
    }
    news.afterChange = report.lastChange;
    news.lastChange = m_history.last();
    if (report.readsPacked && bytes > minBytesToPack) {
        news.packedItems.push_back(packItems(news.items));
        news.items.clear();
    }
}

// Most hosts that know an older table lack only its last change, or are about to receive it. They are sent the changes
// since their edition, others the whole table.
void Announcer::addTableUpdate(const GrantTable& table, const wire::HostReport& report, const TableEdition& known,
    bool mayBeLarge, wire::HostAdvice& advice)
{
    const auto recent = m_recentChanges.find(table.service);
    if (recent != m_recentChanges.end()) {
        const auto& changes = recent->second;
        auto change = std::find_if(
            changes.begin(), changes.end(), [&](const RecentChange& candidate) { return candidate.from == known; });
        if (change != changes.end()) {
            for (; change != changes.end(); ++change)
                advice.missed.tables.push_back(change->encoded);
            return;
        }
    }
    if (!mayBeLarge)
        return;
    if (report.readsPacked)
        advice.packedTables.push_back(packed(table));
    else
        advice.tables.push_back(encodeGrantTable(table));
}

}
