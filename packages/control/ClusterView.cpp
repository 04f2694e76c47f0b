#include "control/ClusterView.h"

#include "base/Log.h"
#include "decisions/TableCodec.h"
#include "resources/ResourceCodec.h"
#include "resources/RosterCodec.h"

#include <boost/json.hpp>

namespace cumindale {

namespace json = boost::json;

namespace {

    const std::string& tablesPrefix()
    {
        static const std::string prefix = std::string(storePrefix).append("tables/");
        return prefix;
    }

}

KnownVersions versionsIn(const RangeReply& reply)
{
    KnownVersions versions;
    for (const auto& value : reply.values) {
        if (value.key == rosterKey()) {
            if (const auto roster = decodeRoster(value.value))
                versions.roster = roster->version;
        } else if (value.key.starts_with(tablesPrefix())) {
            if (const auto table = decodeTable(value.value))
                versions.tables[table->service] = table->version;
        }
    }
    return versions;
}

ViewChange ClusterView::applyEvents(int64_t revision, const std::vector<WatchEvent>& events)
{
    ViewChange change;
    for (const auto& event : events) {
        if (event.erased)
            applyErased(event.value.key, event.value.modRevision, change);
        else
            applyValue(event.value, change);
    }
    m_revision = std::max(m_revision, revision);
    if (change.resources)
        rebuildResources();
    return change;
}

ViewChange ClusterView::applySnapshot(const RangeReply& reply)
{
    ViewChange change;
    std::set<std::string> present;
    for (const auto& value : reply.values) {
        present.insert(value.key);
        applyValue(value, change);
    }
    for (const auto& [key, document] : m_documents) {
        if (!document.erased && document.modRevision < reply.revision && !present.count(key))
            applyErased(key, reply.revision, change);
    }
    if (!present.count(leaderKey()) && m_leader.modRevision <= reply.revision)
        applyErased(leaderKey(), reply.revision, change);
    m_revision = std::max(m_revision, reply.revision);
    if (change.resources)
        rebuildResources();
    return change;
}

bool ClusterView::coveredBy(const RangeReply& reply) const
{
    std::map<std::string_view, const KeyValue*> inReply;
    for (const auto& value : reply.values)
        inReply.emplace(value.key, &value);
    return std::all_of(m_documents.begin(), m_documents.end(), [&](const auto& entry) {
        const Document& document = entry.second;
        const auto found = inReply.find(entry.first);
        if (document.erased)
            return true;
        return found != inReply.end()
            && (found->second->modRevision >= document.modRevision || found->second->value == document.text);
    });
}

void ClusterView::applyValue(const KeyValue& value, ViewChange& change)
{
    if (value.key == leaderKey()) {
        if (value.modRevision <= m_leader.modRevision)
            return;
        m_leader = decodeLeader(value.value, value.modRevision);
        change.leader = true;
        return;
    }
    if (value.key == rosterKey()) {
        auto roster = decodeRoster(value.value);
        if (!roster)
            ++m_malformedValues;
        else if (applyRoster(std::move(*roster), value.modRevision).roster)
            change.roster = true;
        return;
    }
    if (value.key.starts_with(tablesPrefix())) {
        auto table = decodeTable(value.value);
        if (!table)
            ++m_malformedValues;
        else if (const auto name = table->service; applyTable(std::move(*table), value.modRevision).any())
            change.tables.insert(name);
        return;
    }
    if (!isKind(kindOfKey(value.key)))
        return;
    Document& document = m_documents[value.key];
    if (value.modRevision <= document.modRevision)
        return;
    document = { value.modRevision, false, value.value };
    change.resources = true;
}

void ClusterView::applyErased(const std::string& key, int64_t revision, ViewChange& change)
{
    if (key == leaderKey()) {
        if (revision < m_leader.modRevision || m_leader.host.empty())
            return;
        m_leader = { {}, {}, {}, revision };
        change.leader = true;
        return;
    }
    if (!isKind(kindOfKey(key)))
        return;
    // The tombstone is kept even if this host never had the resource. Otherwise a peer with the tombstone would always
    // report a higher resource revision than this host, and this host would fetch its resources again and again.
    Document& document = m_documents[key];
    if (revision <= document.modRevision)
        return;
    document = { revision, true, {} };
    change.resources = true;
}

ViewChange ClusterView::applyTable(SliceTable table, int64_t modRevision)
{
    ViewChange change;
    auto& knownRevision = m_modRevisions[tableKey(table.service)];
    knownRevision = std::max(knownRevision, modRevision);
    auto& current = m_tables[table.service];
    if (current && current->version >= table.version)
        return change;
    change.tables.insert(table.service);
    current = std::make_shared<const SliceTable>(std::move(table));
    return change;
}

ViewChange ClusterView::applyRoster(Roster roster, int64_t modRevision)
{
    ViewChange change;
    auto& knownRevision = m_modRevisions[rosterKey()];
    knownRevision = std::max(knownRevision, modRevision);
    if (m_roster->version >= roster.version)
        return change;
    m_roster = std::make_shared<const Roster>(std::move(roster));
    change.roster = true;
    return change;
}

void ClusterView::rebuildResources()
{
    auto resources = std::make_shared<Resources>();
    auto entries = std::make_shared<std::vector<ResourceEntry>>();
    for (const auto& [key, document] : m_documents) {
        resources->revision = std::max(resources->revision, document.modRevision);
        if (document.erased)
            continue;
        const auto fault
            = fieldErrorOf([&, &text = document.text, revision = document.modRevision]() -> boost::leaf::result<void> {
                  BOOST_LEAF_AUTO(stored, parseStoredResource(text));
                  entries->push_back({ stored.document.kind, stored.document.name, revision, text });
                  return addToResources(*resources, stored.document);
              });
        if (fault) {
            ++m_malformedValues;
            logChange(LogLevel::Error, "resource-refused", { { "key", key }, { "fault", fault->text() } });
        }
    }
    m_resources = std::move(resources);
    m_entries = std::move(entries);
}

std::shared_ptr<const SliceTable> ClusterView::table(std::string_view service) const
{
    const auto found = m_tables.find(service);
    return found == m_tables.end() ? nullptr : found->second;
}

int64_t ClusterView::modRevisionOf(const std::string& key) const
{
    const auto found = m_modRevisions.find(key);
    return found == m_modRevisions.end() ? 0 : found->second;
}

std::string ClusterView::resourcesForPeers() const
{
    json::array documents;
    for (const auto& [key, document] : m_documents) {
        json::object object;
        object["key"] = key;
        object["modRevision"] = document.modRevision;
        object["erased"] = document.erased;
        object["text"] = document.text;
        documents.push_back(std::move(object));
    }
    json::object object;
    object["documents"] = std::move(documents);
    return json::serialize(object);
}

ViewChange ClusterView::applyPeerResources(std::string_view text)
{
    ViewChange change;
    FieldError fault;
    const json::object object = parseObject(text, fault);
    FieldReader reader(object, {}, fault);
    for (const auto* item : reader.objects("documents")) {
        FieldReader document(*item, "documents", fault);
        KeyValue value;
        value.key = document.text("key", true, {}, 1024);
        value.modRevision = document.requiredInteger("modRevision", 1, INT64_MAX);
        value.value = document.text("text", false, {}, 1'000'000);
        const bool erased = document.flag("erased", false);
        if (fault.any())
            break;
        if (erased)
            applyErased(value.key, value.modRevision, change);
        else
            applyValue(value, change);
    }
    if (change.resources)
        rebuildResources();
    return change;
}

}
