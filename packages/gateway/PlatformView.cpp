#include "gateway/PlatformView.h"

#include "base/Log.h"
#include "resources/FleetSizeCodec.h"
#include "resources/GrantTableCodec.h"
#include "resources/QuarantineCodec.h"
#include "resources/ResourceCodec.h"

#include <algorithm>

namespace cumindale {

PlatformView::PlatformView(const PlatformAdapter& adapter, const Clock& clock, Millis rulesDeadline)
    : m_adapter(adapter)
    , m_clock(clock)
    , m_freshness(rulesDeadline)
{
}

namespace {

    // A starting host reads some thousand servers at once: the first ones are logged one by one, the others as a count.
    constexpr size_t maxRegistrationLines = 32;

    // A document of a later version may have the same unknown field in each of some thousand routes.
    constexpr size_t maxRulesWarnings = 32;

    void logRulesWarnings(const std::vector<FieldError>& problems, int64_t version)
    {
        const size_t logged = std::min(problems.size(), maxRulesWarnings);
        for (size_t i = 0; i < logged; ++i)
            logChange(LogLevel::Warning, "rules-warning",
                { { "version", version }, { "field", problems[i].field }, { "allowed", problems[i].allowed } });
        if (logged < problems.size())
            logChange(LogLevel::Warning, "rules-warning",
                { { "version", version }, { "count", problems.size() }, { "leftOut", problems.size() - logged } });
    }

}

void PlatformView::logServer(const RegisteredServer& server, const KeyValue& entry)
{
    if (!server.leaving && ++m_batchRegistrations > maxRegistrationLines)
        return;
    logChange(LogLevel::Info, server.leaving ? "server-leaving" : "server-registered",
        { { "server", server.id }, { "service", server.service },
            { "address", server.address + ":" + std::to_string(server.port) },
            { "warmupLeftMs", server.warmupLeft.count() }, { "revision", entry.modRevision },
            { "ageMs", entry.age.count() } });
}

void PlatformView::logOmittedRegistrations()
{
    const size_t registrations = std::exchange(m_batchRegistrations, 0);
    if (registrations > maxRegistrationLines)
        logChange(LogLevel::Info, "servers-registered",
            { { "count", registrations }, { "leftOut", registrations - maxRegistrationLines } });
}

PlatformView::Change PlatformView::applyEvents(int64_t revision, const std::vector<WatchEvent>& events)
{
    Change change;
    const bool hadGap = m_knownChanges.hasGap();
    const int64_t before = lastChange();
    for (const auto& event : events) {
        // What was relayed while earlier changes were missing belongs to the changes that are complete now.
        const bool wasRelayed
            = hadGap && event.value.modRevision > before && knows(event.value.key, event.value.modRevision);
        const bool isNews = applyEvent(event, change) || wasRelayed;
        if (!isNews || !isExternalKey(event.value.key))
            continue;
        m_knownChanges.markCompleteUpTo(event.value.modRevision);
        change.news.push_back(event);
    }
    logOmittedRegistrations();
    m_revision = std::max(m_revision, revision);
    return change;
}

bool PlatformView::applyEvent(const WatchEvent& event, Change& change)
{
    if (!event.erased)
        return applyValue(event.value, change);
    applyErased(event.value.key, event.value.modRevision, change);
    return true;
}

PlatformView::Change PlatformView::applySnapshot(const RangeReply& reply, bool afterOutage)
{
    Change change = applyItems(reply.revision, reply.values, afterOutage);
    const bool hasLeader = std::any_of(
        reply.values.begin(), reply.values.end(), [](const KeyValue& value) { return value.key == leaderKey(); });
    if (!hasLeader)
        applyErased(leaderKey(), reply.revision, change);
    return change;
}

PlatformView::Change PlatformView::applyRelayedSnapshot(int64_t revision, const std::vector<KeyValue>& items)
{
    return applyItems(revision, items, false);
}

PlatformView::Change PlatformView::applyItems(int64_t revision, const std::vector<KeyValue>& values, bool afterOutage)
{
    Change change;
    std::set<std::string> present;
    for (const auto& value : values) {
        present.insert(value.key);
        applyValue(value, change);
    }
    logOmittedRegistrations();
    std::set<std::string> presentServers;
    for (const auto& key : present) {
        if (m_adapter.itemOf(key) == StoreItem::Server)
            presentServers.insert(m_adapter.serverNameIn(key));
    }
    for (const auto& [name, entry] : m_serverEntries) {
        if (!entry.id.empty() && !presentServers.count(name) && entry.revision <= revision)
            m_missing[name] = revision;
    }
    for (const auto& [centre, evacuation] : m_evacuations) {
        const std::string key = evacuation.key;
        if (evacuation.inForce && !present.count(key) && evacuation.revision <= revision)
            applyEvacuation({ key, {}, revision }, false, change);
    }
    for (const auto& [name, snapshotRevision] : m_missing)
        editServer(m_serverEntries.at(name).id, change).unconfirmed = true;
    if (!afterOutage) {
        Change dropped = removeMissingServers();
        change.servers.merge(dropped.servers);
    }
    // Deletions leave no item behind, so the snapshot is complete up to the store's revision, not only up to the newest
    // item.
    m_knownChanges.markCompleteUpTo(revision);
    m_snapshotRevision = std::max(m_snapshotRevision, revision);
    m_revision = std::max(m_revision, revision);
    return change;
}

PlatformView::Change PlatformView::applyNews(
    int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>& events)
{
    // m_revision stays, since this host's own watch must continue from there.
    Change change;
    for (const auto& event : events)
        applyEvent(event, change);
    logOmittedRegistrations();
    m_knownChanges.add(afterChange, lastChange);
    return change;
}

PlatformView::Change PlatformView::applyRouterItems(const RangeReply& reply)
{
    Change change;
    bool leader = false;
    for (const auto& value : reply.values) {
        leader = leader || value.key == leaderKey();
        applyValue(value, change);
    }
    if (!leader)
        applyErased(leaderKey(), reply.revision, change);
    m_revision = std::max(m_revision, std::min(std::max(m_knownChanges.complete(), m_unchangedUpTo), reply.revision));
    return change;
}

PlatformView::Change PlatformView::applyLeader(const RangeReply& reply)
{
    Change change;
    m_hasReadLeader = true;
    if (reply.values.empty())
        applyErased(leaderKey(), reply.revision, change);
    else
        applyValue(reply.values.front(), change);
    return change;
}

PlatformView::Change PlatformView::applyLeaderEvents(const std::vector<WatchEvent>& events)
{
    Change change;
    for (const auto& event : events)
        applyEvent(event, change);
    return change;
}

void PlatformView::confirmUnchanged(int64_t lastChange, int64_t storeRevision)
{
    if (m_knownChanges.complete() >= lastChange)
        m_unchangedUpTo = std::max(m_unchangedUpTo, storeRevision);
}

PlatformView::Change PlatformView::applyItem(const KeyValue& value)
{
    Change change;
    applyValue(value, change);
    return change;
}

bool PlatformView::knows(std::string_view key, int64_t revision) const
{
    switch (m_adapter.itemOf(key)) {
    case StoreItem::Rules:
        return m_freshness.revision() >= revision;
    case StoreItem::Server: {
        const auto entry = m_serverEntries.find(m_adapter.serverNameIn(key));
        return entry != m_serverEntries.end() && entry->second.revision >= revision;
    }
    case StoreItem::Evacuation: {
        const auto evacuation = m_evacuations.find(m_adapter.dataCentreIn(key));
        return evacuation != m_evacuations.end() && evacuation->second.revision >= revision;
    }
    case StoreItem::Other:
        break;
    }
    return true; // other items are not tracked
}

PlatformView::Change PlatformView::removeMissingServers()
{
    Change change;
    for (const auto& [name, snapshotRevision] : std::exchange(m_missing, {})) {
        ServerEntry& entry = m_serverEntries.at(name);
        // A late message with an earlier write must not restore the server.
        entry.revision = std::max(entry.revision, snapshotRevision);
        dropServer(name, snapshotRevision, "missing in the store", change);
    }
    return change;
}

PlatformView::Change PlatformView::applyTable(GrantTable table)
{
    Change change;
    auto& held = m_tables[table.service];
    if (held && !(held->edition < table.edition))
        return change;
    change.tables.insert(table.service);
    held = std::make_shared<const GrantTable>(std::move(table));
    return change;
}

RegisteredServer& PlatformView::editServer(const std::string& id, Change& change)
{
    change.servers.insert(id);
    ++m_serversEdition;
    return (*m_servers)[id];
}

std::vector<ServerChange> PlatformView::changesOf(const std::set<std::string>& ids) const
{
    std::vector<ServerChange> changes;
    changes.reserve(ids.size());
    for (const auto& id : ids) {
        const auto server = m_servers->find(id);
        const bool registered = server != m_servers->end();
        changes.push_back({ id, registered ? std::make_shared<const RegisteredServer>(server->second) : nullptr });
    }
    return changes;
}

std::vector<ServerChange> PlatformView::allServers() const
{
    std::vector<ServerChange> changes;
    changes.reserve(m_servers->size());
    for (const auto& [id, server] : *m_servers)
        changes.push_back({ id, std::make_shared<const RegisteredServer>(server) });
    return changes;
}

void PlatformView::applyRules(const KeyValue& value, Change& change)
{
    if (value.modRevision <= m_freshness.revision())
        return;
    m_freshness.received(value.modRevision, false);
    ParsedRules reading;
    const auto fault = fieldErrorOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(reading, m_adapter.parseRules(value.value));
        return {};
    });
    if (fault) {
        logChange(LogLevel::Error, "rules-refused", { { "revision", value.modRevision }, { "why", fault->text() } });
        return;
    }
    RouteRules& rules = reading.rules;
    if (m_rules && rules.version < m_rules->version) {
        logChange(LogLevel::Error, "rules-refused",
            { { "revision", value.modRevision }, { "why", "older than the version in force" },
                { "version", rules.version } });
        return;
    }
    m_freshness.received(value.modRevision, !reading.incomplete);
    logRulesWarnings(reading.problems, rules.version);
    logChange(LogLevel::Info, "rules-in-force",
        { { "version", rules.version }, { "revision", value.modRevision }, { "routes", rules.routeCount() } });
    rules.revision = value.modRevision;
    rules.bounds.revision = value.modRevision;
    m_rules = std::make_shared<const RouteRules>(std::move(rules));
    change.rules = true;
}

void PlatformView::dropServer(const std::string& name, int64_t revision, std::string_view why, Change& change)
{
    const std::string id = std::exchange(m_serverEntries[name].id, {});
    m_missing.erase(name);
    if (id.empty())
        return;
    change.servers.insert(id);
    ++m_serversEdition;
    m_servers->erase(id);
    logChange(LogLevel::Info, "server-removed", { { "server", id }, { "revision", revision }, { "why", why } });
}

bool PlatformView::applyServer(const KeyValue& value, Change& change)
{
    const std::string name = m_adapter.serverNameIn(value.key);
    ServerEntry& entry = m_serverEntries[name];
    if (value.modRevision < entry.revision)
        return false;
    const bool wasMissing = m_missing.erase(name);
    // The same write may arrive twice. A write older than a snapshot without its server was followed by a deletion that
    // this host didn't receive.
    const bool erasedSince = !entry.revision && value.modRevision <= m_snapshotRevision;
    const bool repeated = value.modRevision == entry.revision && !wasMissing;
    if (repeated || erasedSince)
        return false;
    entry.revision = value.modRevision;
    RegisteredServer server;
    const auto fault = fieldErrorOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(server, m_adapter.parseServer(name, value.value));
        return {};
    });
    // A server's entry may be overwritten by something else. The previous entry may no longer be true, and nothing
    // confirms any more that the server handles the requests and keys sent to it, so the server is removed.
    const auto refuse = [&](std::string_view why) {
        logChange(LogLevel::Error, "server-entry-refused", { { "server", name }, { "why", why } });
        dropServer(name, value.modRevision, "its entry is invalid", change);
    };
    if (fault) {
        refuse(fault->text());
        return true;
    }
    if (!server.born && entry.born) {
        refuse("born: missing, but present in earlier entries of this server");
        return true;
    }
    // A write by an incarnation that has ended may take effect late, but such an incarnation has at most one write in
    // flight. A second write comes from a live server whose clock was set back before it started.
    if (server.born < entry.born && std::exchange(entry.olderBorn, server.born) != server.born) {
        logChange(LogLevel::Warning, "server-entry-outdated",
            { { "server", server.id }, { "present", entry.id }, { "revision", value.modRevision } });
        return true; // a second one of the same incarnation counts, so hosts must know of the first
    }
    entry.born = server.born;
    entry.olderBorn = 0;
    // The entry was written a little before it arrived. Counting from now ends the warm-up slightly late, never early.
    if (server.warmupLeft > Millis(0))
        server.warmupEnd = m_clock.now() + server.warmupLeft;
    const auto evacuation = m_evacuations.find(server.dataCentre);
    server.evacuated = evacuation != m_evacuations.end() && evacuation->second.inForce;
    if (server.evacuated)
        server.evacuatedSince = evacuation->second.since;
    if (entry.id != server.id)
        dropServer(name, value.modRevision, "restarted", change);
    const auto held = m_servers->find(server.id);
    const bool wasLeaving = held != m_servers->end() && held->second.leaving;
    if (server.leaving)
        server.leavingSince = wasLeaving ? held->second.leavingSince : m_clock.now() - value.age;
    if (held != m_servers->end() && held->second == server)
        return false; // a heartbeat
    if (held == m_servers->end() || held->second.leaving != server.leaving)
        logServer(server, value);
    entry.id = server.id;
    entry.key = value.key;
    entry.value = value.value;
    editServer(entry.id, change) = std::move(server);
    return true;
}

void PlatformView::applyEvacuation(const KeyValue& item, bool inForce, Change& change)
{
    const std::string centre = m_adapter.dataCentreIn(item.key);
    if (centre.empty()) {
        logChange(LogLevel::Warning, "evacuation-refused", { { "key", item.key }, { "why", "names no data centre" } });
        return;
    }
    const int64_t revision = item.modRevision;
    Evacuation& evacuation = m_evacuations[centre];
    // As with servers: a write older than a snapshot without its item was followed by a deletion.
    const bool erasedSince = inForce && !evacuation.revision && revision <= m_snapshotRevision;
    if (revision <= evacuation.revision || erasedSince)
        return;
    evacuation.key = item.key;
    evacuation.revision = revision;
    if (std::exchange(evacuation.inForce, inForce) == inForce)
        return;
    evacuation.since = m_clock.now() - item.age;
    logChange(LogLevel::Info, inForce ? "data-centre-evacuated" : "data-centre-evacuation-ended",
        { { "dataCentre", centre }, { "revision", revision } });
    markEvacuated(centre, inForce, change);
}

void PlatformView::markEvacuated(const std::string& dataCentre, bool evacuated, Change& change)
{
    std::vector<std::string> serverIds;
    for (const auto& [id, server] : *m_servers) {
        if (server.dataCentre == dataCentre)
            serverIds.push_back(id);
    }
    const Instant now = m_clock.now();
    for (const auto& id : serverIds) {
        RegisteredServer& server = editServer(id, change);
        server.evacuated = evacuated;
        server.evacuatedSince = evacuated ? m_evacuations.at(dataCentre).since : Instant {};
        // Servers without traffic may have lost their caches, and their entries show that up to one heartbeat later.
        // After an evacuation the servers are therefore treated as warming up until a newer entry says otherwise.
        const RoutedService* service = m_rules ? m_rules->service(server.service) : nullptr;
        if (!evacuated && service && service->warmUp.isSet())
            server.warmupEnd = std::max(server.warmupEnd, now + service->warmUp.duration);
    }
}

std::map<std::string, Instant> PlatformView::evacuations() const
{
    std::map<std::string, Instant> centres;
    for (const auto& [centre, evacuation] : m_evacuations) {
        if (evacuation.inForce)
            centres.emplace(centre, evacuation.since);
    }
    return centres;
}

std::vector<KeyValue> PlatformView::platformItems() const
{
    std::vector<KeyValue> items;
    items.reserve(m_serverEntries.size());
    const Instant now = m_clock.now();
    for (const auto& [name, entry] : m_serverEntries) {
        const auto server = m_servers->find(entry.id);
        if (server == m_servers->end())
            continue;
        KeyValue& item = items.emplace_back();
        item.key = entry.key;
        item.value = entry.value;
        item.modRevision = entry.revision;
        if (server->second.leaving)
            item.age = now - server->second.leavingSince;
    }
    for (const auto& [centre, evacuation] : m_evacuations) {
        if (!evacuation.inForce)
            continue;
        KeyValue& item = items.emplace_back();
        item.key = evacuation.key;
        item.modRevision = evacuation.revision;
        item.age = now - evacuation.since;
    }
    return items;
}

bool PlatformView::applyValue(const KeyValue& value, Change& change)
{
    if (value.key == leaderKey()) {
        if (value.modRevision <= m_leader.modRevision)
            return true;
        m_leader = decodeLeader(value.value, value.modRevision);
        change.leader = true;
        logChange(
            LogLevel::Info, "coordinator-changed", { { "coordinator", m_leader.host }, { "term", value.modRevision } });
        return true;
    }
    if (value.key == listedHostsKey()) {
        recordListed(decodeListedHosts(value.value), value.modRevision);
        return true;
    }
    if (value.key == fleetSizeKey()) {
        m_fleetSize = decodeFleetSize(value.value);
        return true;
    }
    if (value.key == quarantineKey()) {
        if (value.modRevision <= m_quarantineRevision)
            return true;
        m_quarantineRevision = value.modRevision;
        m_quarantine = decodeQuarantine(value.value, m_clock.now(), m_clock.unixMillis());
        change.quarantine = true;
        return true;
    }
    if (isGrantTableKey(value.key)) {
        int64_t& revision = m_tableRevisions[value.key];
        if (value.modRevision <= revision)
            return true;
        revision = value.modRevision;
        auto table = decodeGrantTable(value.value);
        if (!table) {
            logChange(LogLevel::Error, "table-refused", { { "key", value.key }, { "revision", value.modRevision } });
            return true;
        }
        m_storedTables[table->service] = std::make_shared<const GrantTable>(*table);
        const Change applied = applyTable(std::move(*table));
        change.tables.insert(applied.tables.begin(), applied.tables.end());
        return true;
    }
    switch (m_adapter.itemOf(value.key)) {
    case StoreItem::Rules:
        applyRules(value, change);
        break;
    case StoreItem::Server:
        return applyServer(value, change);
    case StoreItem::Evacuation:
        applyEvacuation(value, true, change);
        break;
    case StoreItem::Other:
        break;
    }
    return true;
}

void PlatformView::applyErased(const std::string& key, int64_t revision, Change& change)
{
    if (key == leaderKey()) {
        if (revision < m_leader.modRevision || m_leader.host.empty())
            return;
        m_leader = { {}, {}, {}, revision };
        change.leader = true;
        logChange(LogLevel::Warning, "coordinator-lost", { { "revision", revision } });
        return;
    }
    const StoreItem item = m_adapter.itemOf(key);
    if (item == StoreItem::Evacuation)
        applyEvacuation({ key, {}, revision }, false, change);
    if (item != StoreItem::Server)
        return;
    const std::string name = m_adapter.serverNameIn(key);
    ServerEntry& entry = m_serverEntries[name];
    if (revision <= entry.revision)
        return;
    entry.revision = revision;
    dropServer(name, revision, "its entry was removed", change);
}

std::shared_ptr<const GrantTable> PlatformView::table(std::string_view service) const
{
    const auto found = m_tables.find(service);
    return found == m_tables.end() ? nullptr : found->second;
}

std::shared_ptr<const GrantTable> PlatformView::storedTable(std::string_view service) const
{
    const auto found = m_storedTables.find(service);
    return found == m_storedTables.end() ? nullptr : found->second;
}

int64_t PlatformView::modRevisionOf(const std::string& key) const
{
    const auto found = m_tableRevisions.find(key);
    return found == m_tableRevisions.end() ? 0 : found->second;
}

void PlatformView::recordWritten(const GrantTable& table, int64_t modRevision)
{
    int64_t& revision = m_tableRevisions[grantTableKey(table.service)];
    if (modRevision <= revision)
        return;
    revision = modRevision;
    m_storedTables[table.service] = std::make_shared<const GrantTable>(table);
}

void PlatformView::recordStored(const GrantTable& table, int64_t modRevision)
{
    m_tableRevisions[grantTableKey(table.service)] = modRevision;
    m_storedTables[table.service] = std::make_shared<const GrantTable>(table);
}

void PlatformView::recordListed(std::set<std::string, std::less<>> hosts, int64_t modRevision)
{
    if (modRevision <= m_listedRevision)
        return;
    m_listedRevision = modRevision;
    m_listedHosts = std::move(hosts);
}

}
