#include "operators/ResourceWriter.h"

#include "web/Signal.h"

#include <boost/json.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Millis callTimeout { 2500 };
    constexpr Millis retryDelay { 100 };
    constexpr size_t maxRecentOperations = 256;

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
            fieldErrorOf([&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(stored, parseStoredResource(value.value));
                return addToResources(snapshot.resources, stored.document);
            });
        }
        return snapshot;
    }

    bool contains(const std::vector<std::string>& list, const std::string& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

    std::string guardValue(std::vector<std::string> operations, const std::string& newest)
    {
        operations.push_back(newest);
        json::array list;
        const size_t skip = operations.size() > maxRecentOperations ? operations.size() - maxRecentOperations : 0;
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

    std::optional<FieldError> findFault(Resources resources, const WriteRequest& request)
    {
        return fieldErrorOf([&]() -> boost::leaf::result<void> {
            if (request.erase)
                erase(resources, request.document);
            else
                BOOST_LEAF_CHECK(addToResources(resources, request.document));
            if (!request.erase && request.document.kind == "Evacuation")
                BOOST_LEAF_CHECK(checkEvacuation(resources, request.document.name));
            return checkReferences(resources);
        });
    }

    // Separate from the coroutine because g++ 12 miscompiles initializer lists of temporaries in coroutines.
    std::vector<Compare> conditionsFor(const std::string& key, int64_t current, const Snapshot& snapshot)
    {
        return { { guardKey(), snapshot.guardRevision }, { key, current } };
    }

    std::vector<WriteOperation> writesFor(const std::string& key, const WriteRequest& request, const Snapshot& snapshot)
    {
        const std::string document
            = request.erase ? std::string() : encodeStoredResource({ request.document, request.operationId });
        return { { key, document, request.erase },
            { guardKey(), guardValue(snapshot.operations, request.operationId) } };
    }

}

ResourceWriter::ResourceWriter(const Clock& clock, Store& store, Metrics& metrics)
    : m_clock(clock)
    , m_store(store)
    , m_calls(metrics.counter("store_calls_operators"))
{
}

asio::awaitable<WriteResult> ResourceWriter::write(WriteRequest request, Millis timeout)
{
    const std::string key = resourceKey(request.document.kind, request.document.name);
    const Instant end = m_clock.now() + timeout;
    bool maybeWritten = false;
    while (m_clock.now() < end) {
        m_calls.add();
        const RangeReply reply = co_await m_store.range(resourcesPrefix(), true, callTimeout);
        if (reply.status != StoreStatus::Ok) {
            co_await sleepFor(retryDelay);
            continue;
        }
        const Snapshot snapshot = readSnapshot(reply);
        const auto found = snapshot.documents.find(key);
        const int64_t current = found == snapshot.documents.end() ? 0 : found->second.modRevision;
        if (contains(snapshot.operations, request.operationId))
            co_return WriteResult { WriteOutcome::Committed, current ? current : snapshot.guardRevision, {} };
        if (request.expectedRevision && *request.expectedRevision != current)
            co_return WriteResult { WriteOutcome::Conflict, current, {} };
        if (request.erase && !current)
            co_return WriteResult { WriteOutcome::NotFound, 0, {} };
        if (const auto fault = findFault(snapshot.resources, request))
            co_return WriteResult { WriteOutcome::Invalid, current, *fault };

        const auto conditions = conditionsFor(key, current, snapshot);
        const auto writes = writesFor(key, request, snapshot);
        m_calls.add();
        const TxnReply written = co_await m_store.txn(conditions, writes, callTimeout);
        if (written.status == StoreStatus::Ok && written.succeeded)
            co_return WriteResult { WriteOutcome::Committed, written.revision, {} };
        // Either the reply was lost or a concurrent write was committed first: the next read shows which.
        if (written.status != StoreStatus::Ok) {
            maybeWritten = true;
            co_await sleepFor(retryDelay);
        }
    }
    co_return WriteResult { maybeWritten ? WriteOutcome::Unknown : WriteOutcome::StoreUnavailable, 0, {} };
}

}
