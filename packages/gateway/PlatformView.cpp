#include "gateway/PlatformView.h"

#include "base/Log.h"
#include "resources/GrantTableCodec.h"
#include "resources/ResourceCodec.h"

namespace cumindale {

PlatformView::PlatformView(const PlatformAdapter& adapter)
    : m_adapter(adapter)
{
}

namespace {

    // A host that starts reads some thousand servers at once: lines for the first ones, a count of the others.
    constexpr size_t mostRegistrationLines = 32;

}

void PlatformView::logServer(const RegisteredServer& server, int64_t revision)
{
    if (!server.leaving && ++m_registrations > mostRegistrationLines)
        return;
    logChange(LogLevel::Info, server.leaving ? "server-leaving" : "server-registered",
        { { "server", server.id }, { "service", server.service },
            { "address", server.address + ":" + std::to_string(server.port) }, { "revision", revision } });
}

void PlatformView::logRegistrationsLeftOut()
{
    const size_t registrations = std::exchange(m_registrations, 0);
    if (registrations > mostRegistrationLines)
        logChange(LogLevel::Info, "servers-registered",
            { { "count", registrations }, { "leftOut", registrations - mostRegistrationLines } });
}

PlatformView::Change PlatformView::applyEvents(int64_t revision, const std::vector<WatchEvent>& events)
{
    Change change;
    for (const auto& event : events) {
        if (isOthers(event.value.key))
            m_lastChange = std::max(m_lastChange, event.value.modRevision);
        if (event.erased)
            applyErased(event.value.key, event.value.modRevision, change);
        else
            applyValue(event.value, change);
    }
    logRegistrationsLeftOut();
    m_revision = std::max(m_revision, revision);
    return change;
}

PlatformView::Change PlatformView::applySnapshot(const RangeReply& reply, bool afterOutage)
{
    Change change;
    std::set<std::string> present;
    for (const auto& value : reply.values) {
        present.insert(value.key);
        applyValue(value, change);
    }
    logRegistrationsLeftOut();
    if (!present.count(leaderKey()))
        applyErased(leaderKey(), reply.revision, change);
    std::set<std::string> presentServers;
    for (const auto& key : present) {
        if (m_adapter.itemOf(key) == StoreItem::Server)
            presentServers.insert(m_adapter.serverIdOf(key));
    }
    for (const auto& [id, server] : *m_servers) {
        if (!presentServers.count(id) && m_serverRevisions[id] <= reply.revision)
            m_missing.insert(id);
    }
    for (const auto& id : m_missing)
        changeServers(change).at(id).unconfirmed = true;
    if (!afterOutage) {
        const Change dropped = dropMissing();
        change.servers |= dropped.servers;
    }
    // Erasures leave no item behind: what was read is as new as the store then was.
    m_lastChange = std::max(m_lastChange, reply.revision);
    m_revision = std::max(m_revision, reply.revision);
    return change;
}

std::optional<PlatformView::Change> PlatformView::applyNews(
    int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>& events)
{
    if (afterChange > m_lastChange)
        return std::nullopt;
    const int64_t revision = m_revision; // a watch of this host's own must go on from where it was
    const Change change = applyEvents(revision, events);
    m_lastChange = std::max(m_lastChange, lastChange);
    return change;
}

PlatformView::Change PlatformView::dropMissing()
{
    Change change;
    for (const auto& id : std::exchange(m_missing, {})) {
        changeServers(change).erase(id);
        logChange(LogLevel::Info, "server-gone", { { "server", id }, { "why", "missing in the store" } });
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

ServerMap& PlatformView::changeServers(Change& change)
{
    // A new map for every batch of changes: the routing duty reads the old one on its own thread.
    if (!change.servers)
        m_servers = std::make_shared<ServerMap>(*m_servers);
    change.servers = true;
    return *m_servers;
}

void PlatformView::applyRules(const KeyValue& value, Change& change)
{
    RouteRules rules;
    const auto fault = faultIn([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(rules, m_adapter.parseRules(value.value));
        return {};
    });
    if (fault) {
        logChange(LogLevel::Error, "rules-refused", { { "revision", value.modRevision }, { "why", fault->text() } });
        return;
    }
    if (m_rules && rules.version <= m_rules->version)
        return;
    logChange(LogLevel::Info, "rules-in-force",
        { { "version", rules.version }, { "revision", value.modRevision }, { "routes", rules.routeCount() } });
    m_rules = std::make_shared<const RouteRules>(std::move(rules));
    change.rules = true;
}

void PlatformView::applyServer(const KeyValue& value, Change& change)
{
    const std::string id = m_adapter.serverIdOf(value.key);
    int64_t& revision = m_serverRevisions[id];
    if (value.modRevision < revision)
        return;
    revision = value.modRevision;
    m_missing.erase(id);
    RegisteredServer server;
    const auto fault = faultIn([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(server, m_adapter.parseServer(id, value.value));
        return {};
    });
    if (fault) {
        logChange(LogLevel::Error, "server-entry-refused", { { "server", id }, { "why", fault->text() } });
        return;
    }
    const auto held = m_servers->find(id);
    if (held != m_servers->end() && held->second == server)
        return;
    if (held == m_servers->end() || held->second.leaving != server.leaving)
        logServer(server, value.modRevision);
    changeServers(change).insert_or_assign(id, std::move(server));
}

void PlatformView::applyValue(const KeyValue& value, Change& change)
{
    if (value.key == leaderKey()) {
        if (value.modRevision <= m_leader.modRevision)
            return;
        m_leader = decodeLeader(value.value, value.modRevision);
        change.leader = true;
        logChange(
            LogLevel::Info, "coordinator-known", { { "coordinator", m_leader.host }, { "term", value.modRevision } });
        return;
    }
    if (value.key == listedHostsKey()) {
        noteListed(decodeListedHosts(value.value), value.modRevision);
        return;
    }
    if (isGrantTableKey(value.key)) {
        int64_t& revision = m_tableRevisions[value.key];
        if (value.modRevision <= revision)
            return;
        revision = value.modRevision;
        auto table = decodeGrantTable(value.value);
        if (!table) {
            logChange(LogLevel::Error, "table-refused", { { "key", value.key }, { "revision", value.modRevision } });
            return;
        }
        m_stored[table->service] = std::make_shared<const GrantTable>(*table);
        const Change applied = applyTable(std::move(*table));
        change.tables.insert(applied.tables.begin(), applied.tables.end());
        return;
    }
    switch (m_adapter.itemOf(value.key)) {
    case StoreItem::Rules:
        applyRules(value, change);
        break;
    case StoreItem::Server:
        applyServer(value, change);
        break;
    case StoreItem::Other:
        break;
    }
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
    if (m_adapter.itemOf(key) != StoreItem::Server)
        return;
    const std::string id = m_adapter.serverIdOf(key);
    int64_t& known = m_serverRevisions[id];
    if (revision <= known)
        return;
    known = revision;
    m_missing.erase(id);
    if (!m_servers->count(id))
        return;
    changeServers(change).erase(id);
    logChange(LogLevel::Info, "server-gone", { { "server", id }, { "revision", revision } });
}

std::shared_ptr<const GrantTable> PlatformView::table(std::string_view service) const
{
    const auto found = m_tables.find(service);
    return found == m_tables.end() ? nullptr : found->second;
}

std::shared_ptr<const GrantTable> PlatformView::storedTable(std::string_view service) const
{
    const auto found = m_stored.find(service);
    return found == m_stored.end() ? nullptr : found->second;
}

int64_t PlatformView::modRevisionOf(const std::string& key) const
{
    const auto found = m_tableRevisions.find(key);
    return found == m_tableRevisions.end() ? 0 : found->second;
}

void PlatformView::noteWritten(const GrantTable& table, int64_t modRevision)
{
    int64_t& revision = m_tableRevisions[grantTableKey(table.service)];
    if (modRevision <= revision)
        return;
    revision = modRevision;
    m_stored[table.service] = std::make_shared<const GrantTable>(table);
}

void PlatformView::noteStored(const GrantTable& table, int64_t modRevision)
{
    m_tableRevisions[grantTableKey(table.service)] = modRevision;
    m_stored[table.service] = std::make_shared<const GrantTable>(table);
}

void PlatformView::noteListed(std::set<std::string, std::less<>> hosts, int64_t modRevision)
{
    if (modRevision <= m_listedRevision)
        return;
    m_listedRevision = modRevision;
    m_listedHosts = std::move(hosts);
}

}
