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
    ItemChange changeOf(const WatchEvent& event, Instant now)
    {
        constexpr size_t minBytesToDeflate = 4'096; // servers' entries have some 300 bytes
        ItemChange change { event.value.key, event.value.value, event.value.modRevision, event.erased,
            now - event.value.age };
        if (change.value.size() > minBytesToDeflate) {
            change.plainBytes = change.value.size();
            change.value = deflated(change.value);
        }
        return change;
    }

    int32_t millisSince(Instant past, Instant now)
    {
        return static_cast<int32_t>(std::clamp<int64_t>((now - past).count(), 0, INT32_MAX));
    }

    // Of the table by which the host routes.
    TableEdition knownEdition(const wire::HostReport& report, const std::string& service)
    {
        const auto held = std::find_if(report.services.begin(), report.services.end(),
            [&](const wire::ServiceUse& use) { return use.serviceName == service; });
        return held == report.services.end() ? TableEdition {}
                                             : TableEdition { held->term, static_cast<uint64_t>(held->edition) };
    }

    std::vector<wire::StoreItem> itemsOf(const std::vector<ItemChange>& changes, Instant now)
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
            item.ageMillis = millisSince(change.writtenBy, now);
        }
        return items;
    }

}

Announcer::Announcer(asio::any_io_executor executor, const Clock& clock, Counter& bytesSent, KeyPredicate isDocument)
    : m_clock(clock)
    , m_isDocument(std::move(isDocument))
    , m_news(std::move(executor), clock, bytesSent)
    , m_history(historyOptions, m_isDocument)
{
}

void Announcer::updateHost(const wire::HostReport& report)
{
    m_news.updateHost(
        report.sender, report.address, report.dataCentre, report.strengthCenti / centi, report.readsPacked);
}

void Announcer::removeHost(std::string_view host)
{
    m_news.removeHost(host);
    m_documentRepeats.forget(host);
}

void Announcer::onTermEnded()
{
    m_news.clear();
    m_published.clear();
    m_packed.clear();
    m_recentChanges.clear();
    m_documentRepeats.clear();
}

void Announcer::onStoreChanges(
    int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>& events, bool isLeader)
{
    const Instant now = m_clock.now();
    std::vector<ItemChange> changes;
    changes.reserve(events.size());
    for (const auto& event : events)
        changes.push_back(changeOf(event, now));
    m_history.add(afterChange, lastChange, changes);
    for (const auto& change : changes) {
        if (m_isDocument(change.key) && change.revision > m_document.revision)
            m_document = change;
    }
    if (!isLeader)
        return;
    // News reach the hosts within a few ms and without load on the store.
    for (const auto& news : divideNews(afterChange, lastChange, itemsOf(changes, now), m_isDocument))
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

bool Announcer::needsWholeTable(const wire::HostReport& report, const Tables& tables) const
{
    return std::any_of(tables.begin(), tables.end(), [&](const auto& entry) {
        const auto& [name, table] = entry;
        const TableEdition known = knownEdition(report, name);
        if (!(known < table->edition))
            return false;
        const auto recent = m_recentChanges.find(name);
        return recent == m_recentChanges.end() || changeFrom(recent->second, known) == recent->second.end();
    });
}

Announcer::RecentChanges::const_iterator Announcer::changeFrom(const RecentChanges& changes, const TableEdition& known)
{
    return std::find_if(
        changes.begin(), changes.end(), [&](const RecentChange& change) { return change.from == known; });
}

void Announcer::addMissedChanges(
    const wire::HostReport& report, const Tables& tables, bool mayBeLarge, wire::HostAdvice& advice)
{
    // Without these changes the host would have to read the whole store, which takes a small link longer than the
    // interval between changes.
    if (!mayBeLarge || !report.readsPacked || !addKeptPack(report, advice)) {
        const auto missed = m_history.changesSince(report.lastChange, report.readsPacked ? SIZE_MAX : maxUnpackedBytes);
        if (!missed)
            addMissedDocument(report, advice);
        else if (!missed->empty())
            addMissedItems(*missed, report, mayBeLarge, advice);
    }
    for (const auto& [name, table] : tables) {
        const TableEdition known = knownEdition(report, name);
        if (known < table->edition)
            addTableUpdate(*table, report, known, mayBeLarge, advice);
    }
}

// The document alone, for a host that can't be sent all it has missed. It counts as no change that the host has
// received: a later answer, or a read of the store, brings the others.
void Announcer::addMissedDocument(const wire::HostReport& report, wire::HostAdvice& advice)
{
    const bool isMissed
        = report.rulesKnown ? report.rulesKnown < m_document.revision : report.lastChange < m_document.revision;
    if (!isMissed || m_document.key.empty())
        return;
    const DocumentRequest request { report.sender, report.rulesKnown, m_document.revision, m_document.value.size() };
    if (!m_documentRepeats.mayRepeat(request, m_clock.now()))
        return;
    wire::News& news = advice.missed;
    news.items = itemsOf({ m_document }, m_clock.now());
    news.afterChange = report.lastChange;
    news.lastChange = report.lastChange;
}

void Announcer::addMissedItems(
    const std::vector<ItemChange>& missed, const wire::HostReport& report, bool mayBeLarge, wire::HostAdvice& advice)
{
    wire::News& news = advice.missed;
    news.items = itemsOf(missed, m_clock.now());
    const size_t bytes = bytesOf(news.items);
    // When a fleet starts, servers register while hosts read the store, and each host has missed hundreds of entries.
    if (!mayBeLarge && report.readsPacked && bytes > minBytesToPack) {
        news.items.clear();
        advice.missedLater = true;
        addMissedDocument(report, advice);
        return;
    }
    news.afterChange = report.lastChange;
    news.lastChange = m_history.last();
    if (report.readsPacked && bytes > minBytesToPack) {
        keepPack(report.lastChange, news.items);
        news.items.clear();
        addKeptPack(report, advice);
    }
}

bool Announcer::addKeptPack(const wire::HostReport& report, wire::HostAdvice& advice)
{
    const auto kept = m_packedUpTo == m_history.last() ? m_packedSince.find(report.lastChange) : m_packedSince.end();
    if (kept == m_packedSince.end())
        return false;
    wire::News& news = advice.missed;
    news.afterChange = report.lastChange;
    news.lastChange = m_history.last();
    news.packedItems.push_back(kept->second.items);
    news.packedItems.back().ageMillis = millisSince(kept->second.at, m_clock.now());
    return true;
}

void Announcer::keepPack(int64_t knownRevision, const std::vector<wire::StoreItem>& items)
{
    constexpr size_t maxKept = 8; // each may be as large as the whole history
    if (std::exchange(m_packedUpTo, m_history.last()) != m_history.last() || m_packedSince.size() >= maxKept)
        m_packedSince.clear();
    m_packedSince[knownRevision] = { packItems(items), m_clock.now() };
}

// Most hosts that know an older table lack only its last change, or are about to receive it. They are sent the changes
// since their edition, others the whole table.
void Announcer::addTableUpdate(const GrantTable& table, const wire::HostReport& report, const TableEdition& known,
    bool mayBeLarge, wire::HostAdvice& advice)
{
    const auto recent = m_recentChanges.find(table.service);
    if (recent != m_recentChanges.end()) {
        auto change = changeFrom(recent->second, known);
        if (change != recent->second.end()) {
            for (; change != recent->second.end(); ++change)
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
