#include "store/EtcdStore.h"

#include "store/Base64.h"

#include <boost/json.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace json = boost::json;

std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty()) {
        if (static_cast<unsigned char>(end.back()) != 0xff) {
            ++end.back();
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0'); // all keys
}

namespace {

    constexpr Millis connectTimeout { 1000 };

    std::string toDecimal(int64_t number) { return std::to_string(number); }

    // etcd encodes 64-bit integers as strings and omits fields that are 0.
    int64_t readInteger(const json::object& object, std::string_view name)
    {
        const auto* value = object.if_contains(name);
        if (!value)
            return 0;
        if (value->is_string())
            return std::strtoll(value->get_string().c_str(), nullptr, 10);
        boost::system::error_code error;
        const auto number = value->to_number<int64_t>(error);
        return error ? 0 : number;
    }

    std::string readBytes(const json::object& object, std::string_view name)
    {
        const auto* value = object.if_contains(name);
        return value && value->is_string() ? fromBase64(value->get_string()) : std::string();
    }

    const json::object* readObject(const json::object& object, std::string_view name)
    {
        const auto* value = object.if_contains(name);
        return value ? value->if_object() : nullptr;
    }

    int64_t readRevision(const json::object& response)
    {
        const auto* header = readObject(response, "header");
        return header ? readInteger(*header, "revision") : 0;
    }

    KeyValue readKeyValue(const json::object& object)
    {
        return { readBytes(object, "key"), readBytes(object, "value"), readInteger(object, "mod_revision"),
            readInteger(object, "create_revision"), readInteger(object, "lease") };
    }

    // Returns nullopt for an error status or a malformed response: either means that the store is unavailable.
    std::optional<json::object> parseResponse(const HttpReply& reply)
    {
        if (reply.status != 200)
            return std::nullopt;
        boost::system::error_code error;
        auto value = json::parse(reply.body, error);
        if (error || !value.is_object())
            return std::nullopt;
        return std::move(value.get_object());
    }

    HttpCall post(std::string target, const json::object& body)
    {
        HttpCall call;
        call.verb = boost::beast::http::verb::post;
        call.target = std::move(target);
        call.body = json::serialize(body);
        call.headers = { { "Content-Type", "application/json" } };
        return call;
    }

    LeaseReply readLease(const json::object& response)
    {
        return { StoreStatus::Ok, readInteger(response, "ID"), Millis(readInteger(response, "TTL") * 1000) };
    }

}

EtcdStore::EtcdStore(asio::any_io_executor executor, std::string address, uint16_t port)
    : m_client(std::move(executor), std::move(address), port)
{
}

asio::awaitable<RangeReply> EtcdStore::range(std::string key, bool prefix, Millis timeout)
{
    json::object body;
    body["key"] = toBase64(key);
    if (prefix)
        body["range_end"] = toBase64(prefixEnd(key));
    const HttpReply reply = co_await m_client.send(post("/v3/kv/range", body), timeout);
    const auto response = parseResponse(reply);
    if (!response)
        co_return RangeReply {};
    RangeReply result { StoreStatus::Ok, readRevision(*response), {} };
    const auto* values = response->if_contains("kvs");
    if (values && values->is_array()) {
        for (const auto& value : values->get_array())
            result.values.push_back(readKeyValue(value.as_object()));
    }
    co_return result;
}

asio::awaitable<TxnReply> EtcdStore::txn(
    std::vector<Compare> conditions, std::vector<WriteOperation> writes, Millis timeout)
{
    json::array compare;
    for (const auto& condition : conditions) {
        json::object object;
        object["key"] = toBase64(condition.key);
        object["target"] = "MOD";
        object["result"] = "EQUAL";
        object["mod_revision"] = toDecimal(condition.modRevision);
        compare.push_back(std::move(object));
    }
    json::array success;
    for (const auto& write : writes) {
        json::object operation;
        operation["key"] = toBase64(write.key);
        if (!write.erase)
            operation["value"] = toBase64(write.value);
        if (write.lease)
            operation["lease"] = toDecimal(write.lease);
        json::object wrapper;
        wrapper[write.erase ? "request_delete_range" : "request_put"] = std::move(operation);
        success.push_back(std::move(wrapper));
    }
    json::object body;
    body["compare"] = std::move(compare);
    body["success"] = std::move(success);
    const HttpReply reply = co_await m_client.send(post("/v3/kv/txn", body), timeout);
    const auto response = parseResponse(reply);
    if (!response)
        co_return TxnReply {};
    const auto* succeeded = response->if_contains("succeeded");
    co_return TxnReply { StoreStatus::Ok, readRevision(*response),
        succeeded && succeeded->is_bool() && succeeded->get_bool() };
}

asio::awaitable<LeaseReply> EtcdStore::grantLease(Millis ttl, Millis timeout)
{
    json::object body;
    body["TTL"] = toDecimal((ttl.count() + 999) / 1000);
    const HttpReply reply = co_await m_client.send(post("/v3/lease/grant", body), timeout);
    const auto response = parseResponse(reply);
    co_return response ? readLease(*response) : LeaseReply {};
}

asio::awaitable<LeaseReply> EtcdStore::keepLeaseAlive(int64_t id, Millis timeout)
{
    json::object body;
    body["ID"] = toDecimal(id);
    const HttpReply reply = co_await m_client.send(post("/v3/lease/keepalive", body), timeout);
    const auto response = parseResponse(reply);
    const auto* result = response ? readObject(*response, "result") : nullptr;
    co_return result ? readLease(*result) : LeaseReply {};
}

asio::awaitable<StoreStatus> EtcdStore::revokeLease(int64_t id, Millis timeout)
{
    json::object body;
    body["ID"] = toDecimal(id);
    const HttpReply reply = co_await m_client.send(post("/v3/lease/revoke", body), timeout);
    // Any response counts as success: an error for an unknown lease means that the lease has already ended.
    co_return reply.hasResponse() ? StoreStatus::Ok : StoreStatus::Unavailable;
}

asio::awaitable<WatchEnd> EtcdStore::watch(
    std::string prefix, int64_t fromRevision, Millis idleTimeout, WatchHandler handler)
{
    json::object create;
    create["key"] = toBase64(prefix);
    create["range_end"] = toBase64(prefixEnd(prefix));
    create["start_revision"] = toDecimal(fromRevision);
    create["progress_notify"] = true;
    json::object body;
    body["create_request"] = std::move(create);
    const auto onLine = [handler = std::move(handler)](std::string_view line) {
        boost::system::error_code error;
        const auto value = json::parse(line, error);
        const auto* result = !error && value.is_object() ? readObject(value.get_object(), "result") : nullptr;
        if (!result || result->contains("canceled"))
            return false; // canceled, possibly by a compaction: the caller reads the whole range again
        std::vector<WatchEvent> events;
        const auto* list = result->if_contains("events");
        if (list && list->is_array()) {
            for (const auto& item : list->get_array()) {
                const auto& event = item.as_object();
                const auto* type = event.if_contains("type");
                const auto* entry = readObject(event, "kv");
                if (entry)
                    events.push_back({ type && *type == "DELETE", readKeyValue(*entry) });
            }
        }
        return handler(readRevision(*result), events);
    };
    co_await m_client.stream(post("/v3/watch", body), connectTimeout, idleTimeout, onLine);
    co_return WatchEnd::HistoryGone;
}

}
