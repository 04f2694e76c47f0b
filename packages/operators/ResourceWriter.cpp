#include "operators/ResourceWriter.h"

#include "web/Signal.h"

#include <boost/json.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Millis callTimeout { 2500 };
    constexpr Millis pauseAfterSilence { 100 };
    constexpr size_t operationsRemembered = 256;

    const std::string& resourcesPrefix()
    {
        static const std::string prefix = std::string(storePrefix).append("resources/");
        return prefix;
    }

    std::string guardKey() { return std::string(resourcesPrefix()).append(".guard"); }

    // All resources and the guard key as of one read of the store. `guardRevision` is the guard's revision before the
    // write: the revision of the write is unknown until the commit, but will be the next revision of the guard key.
    struct Snapshot {
        Resources resources;
        std::map<std::string, KeyValue> documents;
        int64_t guardRevision = 0;
        std::vector<std::string> operations; // ids of recent committed operations, newest last
    };

    Snapshot readSnapshot(const RangeReply& reply)
    {
        Snapshot snapshot;
        for (const auto& value : reply.values) {
            if (value.key == guardKey()) {
                snapshot.guardRevision = value.modRevision;
                boost::system::error_code error;
                const auto list = json::parse(value.value, error);
                if (!error && list.is_array()) {
                    for (const auto& item : list.get_array()) {
                        if (item.is_string())
                            snapshot.operations.emplace_back(item.get_string());
                    }
                }
                continue;
            }
            snapshot.documents[value.key] = value;
            // An invalid value that was written without this API must not block all other writes; hosts reject and
            // report it.
            faultIn([&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(stored, parseStored(value.value));
                return addToResources(snapshot.resources, stored.document);
            });
        }
        return snapshot;
    }

    bool contains(const std::vector<std::string>& list, const std::string& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

    std::string guardText(std::vector<std::string> operations, const std::string& newest)
    {
        operations.push_back(newest);
        json::array list;
        const size_t skip = operations.size() > operationsRemembered ? operations.size() - operationsRemembered : 0;
        for (size_t i = skip; i < operations.size(); ++i)
            list.emplace_back(operations[i]);
        return json::serialize(list);
    }

    void erase(Resources& resources, const ResourceDocument& document)
    {
        if (document.kind == "Service")
            resources.services.erase(document.name);
        else if (document.kind == "BackendServer")
            resources.servers.erase(document.name);
        else if (document.kind == "Placement")
            resources.placements.erase(document.name);
        else
            resources.evacuations.erase(document.name);
    }

    std::optional<FieldFault> faultAfter(Resources resources, const WriteOrder& order)
    {
        return faultIn([&]() -> boost::leaf::result<void> {
            if (order.erase)
                erase(resources, order.document);
            else
                BOOST_LEAF_CHECK(addToResources(resources, order.document));
            if (!order.erase && order.document.kind == "Evacuation")
                BOOST_LEAF_CHECK(checkEvacuation(resources, order.document.name));
            return checkReferences(resources);
        });
    }

    // Separate from the coroutine because g++ 12 miscompiles initializer lists of temporaries in coroutines.
    std::vector<Compare> conditionsFor(const std::string& key, int64_t current, const Snapshot& snapshot)
    {
        return { { guardKey(), snapshot.guardRevision }, { key, current } };
    }

    std::vector<WriteOperation> writesFor(const std::string& key, const WriteOrder& order, const Snapshot& snapshot)
    {
        const std::string document = order.erase ? std::string() : storedText({ order.document, order.operationId });
        return { { key, document, order.erase }, { guardKey(), guardText(snapshot.operations, order.operationId) } };
    }

}

ResourceWriter::ResourceWriter(const Clock& clock, Store& store, Metrics& metrics)
    : m_clock(clock)
    , m_store(store)
    , m_calls(metrics.counter("store_calls_operators"))
{
}

asio::awaitable<WriteResult> ResourceWriter::write(WriteOrder order, Millis within)
{
    const std::string key = resourceKey(order.document.kind, order.document.name);
    const Instant end = m_clock.now() + within;
    bool maybeWritten = false;
    while (m_clock.now() < end) {
        m_calls.add();
        const RangeReply reply = co_await m_store.range(resourcesPrefix(), true, callTimeout);
        if (reply.status != StoreStatus::Ok) {
            co_await sleepFor(pauseAfterSilence);
            continue;
        }
        const Snapshot snapshot = readSnapshot(reply);
        const auto found = snapshot.documents.find(key);
        const int64_t current = found == snapshot.documents.end() ? 0 : found->second.modRevision;
        if (contains(snapshot.operations, order.operationId))
            co_return WriteResult { WriteOutcome::Committed, current ? current : snapshot.guardRevision, {} };
        if (order.expectedRevision && *order.expectedRevision != current)
            co_return WriteResult { WriteOutcome::Conflict, current, {} };
        if (order.erase && !current)
            co_return WriteResult { WriteOutcome::NotFound, 0, {} };
        if (const auto fault = faultAfter(snapshot.resources, order))
            co_return WriteResult { WriteOutcome::Invalid, current, *fault };

        const auto conditions = conditionsFor(key, current, snapshot);
        const auto writes = writesFor(key, order, snapshot);
        m_calls.add();
        const TxnReply written = co_await m_store.txn(conditions, writes, callTimeout);
        if (written.status == StoreStatus::Ok && written.succeeded)
            co_return WriteResult { WriteOutcome::Committed, written.revision, {} };
        // Either the reply was lost or a concurrent write was committed first: the next read shows which.
        if (written.status != StoreStatus::Ok) {
            maybeWritten = true;
            co_await sleepFor(pauseAfterSilence);
        }
    }
    co_return WriteResult { maybeWritten ? WriteOutcome::Unknown : WriteOutcome::StoreUnavailable, 0, {} };
}

}
