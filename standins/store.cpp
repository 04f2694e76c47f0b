// Fake platform for tests: the key-value store (the subset of etcd v3's HTTP/JSON mapping that the router uses) and
// the host list. Counts calls; a pending watch counts as one call.
//
//     GET/PUT /hosts            the host list
//     GET     /standin/calls    {"reads", "writes", "watches", "other"}
//     POST    /standin/faults   {"down": bool, "delayMs": n, "loseAnswers": n, "muteWatches": bool}
//     POST    /standin/rollback {"revision": n}  restores the state of an earlier revision
#include "store/Base64.h"
#include "store/EtcdStore.h"
#include "web/HttpServer.h"
#include "web/Signal.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(uint16_t, port, 7000, "port");

namespace {

using namespace cumindale;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto token = asio::as_tuple(asio::use_awaitable);

struct Entry {
    std::string value;
    int64_t create = 0;
    int64_t mod = 0;
    int64_t lease = 0;
};

struct Change {
    int64_t revision = 0;
    bool erased = false;
    std::string key;
    Entry entry;
};

struct Lease {
    Millis ttl { 0 };
    Instant until {};
};

std::string text(int64_t number) { return std::to_string(number); }

int64_t numberIn(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (!value)
        return 0;
    return value->is_string() ? std::strtoll(value->get_string().c_str(), nullptr, 10) : value->to_number<int64_t>();
}

std::string bytesIn(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value ? fromBase64(value->as_string()) : std::string();
}

class StoreStandIn {
public:
    explicit StoreStandIn(asio::any_io_executor executor)
        : m_changed(executor)
    {
        asio::co_spawn(executor, expireLeases(), asio::detached);
    }

    asio::awaitable<std::optional<ServedResponse>> answer(
        const ServedRequest& request, boost::beast::tcp_stream& stream)
    {
        const std::string path = parseTarget(request.target()).path;
        if (path == "/hosts" || path.starts_with("/standin/"))
            co_return handleTestRequest(path, request);
        const bool watch = path == "/v3/watch";
        const bool write = path == "/v3/kv/txn" || path.starts_with("/v3/lease/");
        ++(watch ? m_watches : write ? m_writes : m_reads);
        if (m_delay.count())
            co_await sleepFor(m_delay);
        if (m_down)
            co_return std::nullopt; // closes the connection without a response
        const json::object body = json::parse(request.body()).as_object();
        if (watch) {
            co_await serveWatch(body.at("create_request").as_object(), stream);
            co_return std::nullopt;
        }
        const json::object reply = path == "/v3/kv/range" ? range(body)
            : path == "/v3/kv/txn"                        ? txn(body)
                                                          : lease(path, body);
        if (path == "/v3/kv/txn" && m_loseAnswers > 0) {
            --m_loseAnswers;
            co_return std::nullopt; // the transaction was applied, but its response is lost
        }
        co_return makeResponse(200, json::serialize(reply));
    }

private:
    json::object header() const { return { { "revision", text(m_revision) } }; }

    static json::object entryJson(const std::string& key, const Entry& entry)
    {
        return { { "key", toBase64(key) }, { "value", toBase64(entry.value) }, { "mod_revision", text(entry.mod) },
            { "create_revision", text(entry.create) }, { "lease", text(entry.lease) } };
    }

    json::object range(const json::object& body) const
    {
        const std::string key = bytesIn(body, "key");
        const std::string end = bytesIn(body, "range_end");
        json::array values;
        for (auto it = m_entries.lower_bound(key); it != m_entries.end(); ++it) {
            if (end.empty() ? it->first != key : it->first >= end)
                break;
            values.push_back(entryJson(it->first, it->second));
        }
        return { { "header", header() }, { "kvs", std::move(values) } };
    }

    bool holds(const json::object& compare) const
    {
        const auto found = m_entries.find(bytesIn(compare, "key"));
        const int64_t mod = found == m_entries.end() ? 0 : found->second.mod;
        return mod == numberIn(compare, "mod_revision");
    }

    json::object txn(const json::object& body)
    {
        for (const auto& compare : body.at("compare").as_array()) {
            if (!holds(compare.as_object()))
                return { { "header", header() } };
        }
        ++m_revision;
        for (const auto& operation : body.at("success").as_array()) {
            const auto& object = operation.as_object();
            if (const auto* put = object.if_contains("request_put"))
                write(put->as_object());
            else
                erase(bytesIn(object.at("request_delete_range").as_object(), "key"));
        }
        m_changed.notifyAll();
        return { { "header", header() }, { "succeeded", true } };
    }

    void write(const json::object& put)
    {
        const std::string key = bytesIn(put, "key");
        Entry& entry = m_entries[key];
        entry = { bytesIn(put, "value"), entry.create ? entry.create : m_revision, m_revision, numberIn(put, "lease") };
        m_changes.push_back({ m_revision, false, key, entry });
    }

    void erase(const std::string& key)
    {
        if (!m_entries.erase(key))
            return;
        Entry gone;
        gone.mod = m_revision;
        m_changes.push_back({ m_revision, true, key, gone });
    }

    json::object lease(const std::string& path, const json::object& body)
    {
        if (path == "/v3/lease/grant") {
            const int64_t id = ++m_nextLease;
            const Millis ttl { numberIn(body, "TTL") * 1000 };
            m_leases[id] = { ttl, m_clock.now() + ttl };
            return { { "header", header() }, { "ID", text(id) }, { "TTL", text(ttl.count() / 1000) } };
        }
        const int64_t id = numberIn(body, "ID");
        const auto found = m_leases.find(id);
        if (path == "/v3/lease/revoke") {
            if (found != m_leases.end())
                dropLease(id);
            return { { "header", header() } };
        }
        json::object result { { "ID", text(id) } };
        if (found != m_leases.end()) {
            found->second.until = m_clock.now() + found->second.ttl;
            result["TTL"] = text(found->second.ttl.count() / 1000);
        }
        return { { "result", std::move(result) } };
    }

    void dropLease(int64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, entry] : m_entries) {
            if (entry.lease == id)
                keys.push_back(key);
        }
        if (!keys.empty())
            ++m_revision;
        for (const auto& key : keys)
            erase(key);
        m_changed.notifyAll();
    }

    asio::awaitable<void> expireLeases()
    {
        for (;;) {
            co_await sleepFor(Millis(50));
            if (m_down)
                continue; // leases don't expire while the store is down
            const Instant now = m_clock.now();
            std::vector<int64_t> expired;
            for (const auto& [id, lease] : m_leases) {
                if (lease.until <= now)
                    expired.push_back(id);
            }
            for (int64_t id : expired)
                dropLease(id);
        }
    }

    asio::awaitable<bool> writeResult(boost::beast::tcp_stream& stream, json::object result)
    {
        json::object object;
        object["result"] = std::move(result);
        const std::string line = json::serialize(object) + "\n";
        const auto [error, sent]
            = co_await asio::async_write(stream, boost::beast::http::make_chunk(asio::buffer(line)), token);
        co_return !error;
    }

    asio::awaitable<void> serveWatch(const json::object& create, boost::beast::tcp_stream& stream)
    {
        const std::string key = bytesIn(create, "key");
        const std::string end = bytesIn(create, "range_end");
        int64_t next = std::max<int64_t>(1, numberIn(create, "start_revision"));
        const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto [error, sent] = co_await asio::async_write(stream, asio::buffer(head), token);
        json::object created;
        created["header"] = header();
        created["created"] = true;
        const bool opened = co_await writeResult(stream, std::move(created));
        if (error || !opened)
            co_return;
        const bool muted = m_muteWatches;
        while (!m_down) {
            json::array events;
            for (auto it = std::lower_bound(m_changes.begin(), m_changes.end(), next,
                     [](const Change&change, int64_t revision) { return change.revision < revision; });
                 it != m_changes.end(); ++it) {
                if (it->key < key || it->key >= end)
                    continue;
                json::object event;
                event["kv"] = entryJson(it->key, it->entry);
                if (it->erased)
                    event["type"] = "DELETE";
                events.push_back(std::move(event));
            }
            next = m_revision + 1;
            if (!events.empty() && !muted) {
                json::object result;
                result["header"] = header();
                result["events"] = std::move(events);
                if (!co_await writeResult(stream, std::move(result)))
                    co_return;
            }
            co_await m_changed.wait(Millis(200));
            if (stream.socket().available() || closed(stream))
                co_return;
        }
    }

    static bool closed(boost::beast::tcp_stream& stream)
    {
        char byte = 0;
        return ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    ServedResponse handleTestRequest(const std::string& path, const ServedRequest& request)
    {
        if (path == "/hosts" && request.method() == boost::beast::http::verb::get)
            return m_down ? makeResponse(503, "{}") : makeResponse(200, m_hosts);
        if (path == "/hosts") {
            m_hosts = request.body();
            return makeResponse(200, "{}");
        }
        if (path == "/standin/calls")
            return makeResponse(200,
                json::serialize(
                    json::object { { "reads", m_reads }, { "writes", m_writes }, { "watches", m_watches } }));
        const json::object body = json::parse(request.body()).as_object();
        if (path == "/standin/faults") {
            m_down = body.contains("down") && body.at("down").as_bool();
            m_delay = Millis(numberIn(body, "delayMs"));
            m_loseAnswers = numberIn(body, "loseAnswers");
            m_muteWatches = body.contains("muteWatches") && body.at("muteWatches").as_bool();
            m_changed.notifyAll();
        } else if (path == "/standin/rollback") {
            rollBack(numberIn(body, "revision"));
        }
        return makeResponse(200, "{}");
    }

    void rollBack(int64_t revision)
    {
        std::erase_if(m_changes, [revision](const Change& change) { return change.revision > revision; });
        m_entries.clear();
        for (const auto& change : m_changes) {
            if (change.erased)
                m_entries.erase(change.key);
            else
                m_entries[change.key] = change.entry;
        }
        m_revision = revision;
        m_leases.clear();
        m_changed.notifyAll();
    }

    SystemClock m_clock;
    Signal m_changed;
    int64_t m_revision = 1;
    std::map<std::string, Entry> m_entries;
    std::vector<Change> m_changes;
    std::map<int64_t, Lease> m_leases;
    int64_t m_nextLease = 1000;
    std::string m_hosts = R"({"hosts":[]})";
    bool m_down = false;
    bool m_muteWatches = false;
    Millis m_delay { 0 };
    int64_t m_loseAnswers = 0;
    int64_t m_reads = 0;
    int64_t m_writes = 0;
    int64_t m_watches = 0;
};

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context { 1 };
    StoreStandIn store(context.get_executor());
    const HttpServer server(context.get_executor(), absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port),
        [&store](
            const ServedRequest& request, boost::beast::tcp_stream& stream) { return store.answer(request, stream); });
    context.run();
    return 0;
}
