// Simulated callers: an open-loop load of lookups, claims, uploads and archive reads over a set of keys, sent to the
// hosts in turn. Checks each response against its request, then checks which requests ran by the servers' records.
//
// The last line of output is JSON. The exit status is 1 if a response was wrong, a claim ran twice, a response was
// wrong about whether its request ran, or two servers worked on one key at the same time.
#include "base/Time.h"
#include "web/HttpClient.h"
#include "web/Signal.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>

ABSL_FLAG(std::vector<std::string>, hosts, { "127.0.0.1:7101" }, "callers' endpoints");
ABSL_FLAG(std::vector<std::string>, killed, {},
    "endpoints killed during the run: requests lost there are not counted as lost");
ABSL_FLAG(unsigned, requests, 5000, "how many");
ABSL_FLAG(double, rate, 500, "a second");
ABSL_FLAG(unsigned, keys, 500, "distinct keys");
ABSL_FLAG(double, skew, 2, "1: uniform keys; more: some keys are much hotter");
ABSL_FLAG(std::string, path, "/tracing/", "the service's prefix");
ABSL_FLAG(std::string, records, "", "folder with the servers' records; empty: no check of what ran");
ABSL_FLAG(unsigned, seed, 1, "seed of the random load");
ABSL_FLAG(unsigned, upload_bytes, 50000, "size of an upload");
ABSL_FLAG(unsigned, slow_uploads, 0, "slow uploads started together beside the load, as over a slow line");
ABSL_FLAG(unsigned, slow_bytes, 30000, "size of a slow upload");
ABSL_FLAG(unsigned, slow_rate, 2000, "bytes a second of a slow upload");
ABSL_FLAG(bool, lookups_only, false, "no claims, uploads or archive reads, and no work at the servers");
ABSL_FLAG(double, work_scale, 1, "factor on the simulated work at the servers");
ABSL_FLAG(int64_t, timeout_ms, 5000, "timeout of a caller");

namespace {

using namespace cumindale;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto token = asio::as_tuple(asio::use_awaitable);
constexpr Millis avoidFailedHost { 500 };
constexpr Millis healthCheckInterval { 200 };

struct Sent {
    std::string host;
    std::string nonce;
    std::string key;
    bool idempotent = true;
    std::string kind = "lookup";
    unsigned status = 0; // 0: no response
    std::string ran; // whether the request ran, according to the response
    std::string error;
    bool wrong = false;
    int64_t startMicros = 0;
    int64_t micros = 0;
};

struct HostEndpoint {
    std::string name;
    std::unique_ptr<HttpClient> client;
    Instant avoidUntil {};
};

// One execution of a request, from a server's record.
struct Run {
    std::string server;
    std::string key;
    int64_t begin = 0;
    int64_t end = 0; // 0: did not end
};

class Load {
public:
    explicit Load(asio::any_io_executor executor)
        : m_executor(std::move(executor))
        , m_random(absl::GetFlag(FLAGS_seed))
    {
        for (const auto& endpoint : absl::GetFlag(FLAGS_hosts)) {
            const auto colon = endpoint.rfind(':');
            const auto port = static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1)));
            m_hosts.push_back(
                { endpoint, std::make_unique<HttpClient>(m_executor, endpoint.substr(0, colon), port, 1000) });
        }
    }

    // Checks the health of each host and skips unhealthy hosts, as the platform's load balancer does.
    asio::awaitable<void> followHealth(HostEndpoint& host)
    {
        HttpCall call;
        call.target = "/cumindale/health";
        while (!m_done) {
            const HttpReply reply = co_await host.client->send(call, Millis(1000));
            if (reply.status != 200)
                host.avoidUntil = m_clock.now() + avoidFailedHost;
            co_await sleepFor(healthCheckInterval);
        }
    }

    asio::awaitable<void> run()
    {
        for (auto& host : m_hosts)
            asio::co_spawn(m_executor, followHealth(host), asio::detached);
        const unsigned requests = absl::GetFlag(FLAGS_requests);
        const double rate = absl::GetFlag(FLAGS_rate);
        const unsigned slow = absl::GetFlag(FLAGS_slow_uploads);
        m_sent.resize(requests + slow);
        for (unsigned i = 0; i < slow; ++i)
            asio::co_spawn(m_executor, sendSlowly(requests + i), asio::detached);
        const int64_t start = m_clock.monotonicMicros();
        for (unsigned i = 0; i < requests; ++i) {
            const int64_t due = start + static_cast<int64_t>(i * 1e6 / rate);
            const int64_t early = due - m_clock.monotonicMicros();
            if (early > 1000)
                co_await sleepFor(Millis(early / 1000));
            asio::co_spawn(m_executor, sendOne(i), asio::detached);
        }
        while (m_open)
            co_await sleepFor(Millis(10));
        m_done = true;
    }

    const std::vector<Sent>& sent() const { return m_sent; }

private:
    HostEndpoint& pickHost()
    {
        for (size_t tried = 0; tried < m_hosts.size(); ++tried) {
            HostEndpoint& host = m_hosts[m_nextHost++ % m_hosts.size()];
            if (m_clock.now() >= host.avoidUntil)
                return host;
        }
        return m_hosts[m_nextHost++ % m_hosts.size()];
    }

    HttpCall makeCall(Sent& sent, unsigned index)
    {
        HttpCall call;
        // A few keys are much hotter than the rest.
        std::uniform_real_distribution<double> unit(0, 1);
        const double skewed = std::pow(unit(m_random), absl::GetFlag(FLAGS_skew));
        sent.key = "case-" + std::to_string(static_cast<unsigned>(skewed * absl::GetFlag(FLAGS_keys)));
        sent.nonce = std::to_string(absl::GetFlag(FLAGS_seed)) + "-" + std::to_string(index);
        const double kind = unit(m_random);
        int work = 2;
        call.target = absl::GetFlag(FLAGS_path) + "lookup";
        if (absl::GetFlag(FLAGS_lookups_only)) {
            work = 0;
        } else if (kind < 0.15) {
            call.verb = http::verb::post;
            call.target = absl::GetFlag(FLAGS_path) + "claim";
            call.body = "claim " + sent.nonce;
            sent.idempotent = false;
            sent.kind = "claim";
            work = 5;
        } else if (kind < 0.18) {
            call.verb = http::verb::post;
            call.target = absl::GetFlag(FLAGS_path) + "upload";
            call.body.assign(absl::GetFlag(FLAGS_upload_bytes), 'u');
            sent.idempotent = false;
            sent.kind = "upload";
            work = 5;
        } else if (kind < 0.25) {
            call.target = absl::GetFlag(FLAGS_path) + "archive";
            sent.kind = "archive";
            work = 20;
        }
        call.headers = { { "Case-Key", sent.key }, { "X-Nonce", sent.nonce },
            { "X-Work-Ms", std::to_string(static_cast<int>(work * absl::GetFlag(FLAGS_work_scale))) } };
        return call;
    }

    asio::awaitable<void> sendSlowly(unsigned index)
    {
        ++m_open;
        Sent& sent = m_sent[index];
        sent.kind = "slow";
        sent.idempotent = false;
        sent.key = "case-" + std::to_string(index);
        sent.nonce = std::to_string(absl::GetFlag(FLAGS_seed)) + "-" + std::to_string(index);
        HostEndpoint& host = pickHost();
        sent.host = host.name;
        sent.startMicros = m_clock.monotonicMicros();
        const auto answer = co_await uploadSlowly(host.name, sent);
        sent.micros = m_clock.monotonicMicros() - sent.startMicros;
        if (answer) {
            sent.status = answer->result_int();
            sent.ran = std::string((*answer)["Cumindale-Ran"]);
            sent.error = std::string((*answer)["Cumindale-Error"]);
            sent.wrong = sent.status == 200 && !matches(answer->body(), sent, absl::GetFlag(FLAGS_slow_bytes));
        }
        --m_open;
    }

    // Sends a chunk every 100 ms. Returns nothing if the connection was lost.
    asio::awaitable<std::optional<http::response<http::string_body>>> uploadSlowly(
        std::string endpoint, const Sent& sent)
    {
        const size_t size = absl::GetFlag(FLAGS_slow_bytes);
        const size_t piece = std::max<size_t>(1, absl::GetFlag(FLAGS_slow_rate) / 10);
        const auto colon = endpoint.rfind(':');
        const auto port = static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1)));
        asio::ip::tcp::socket socket(m_executor);
        const auto [connectError]
            = co_await socket.async_connect({ asio::ip::make_address(endpoint.substr(0, colon)), port }, token);
        const std::string head = "POST " + absl::GetFlag(FLAGS_path)
            + "upload HTTP/1.1\r\nHost: h\r\nCase-Key: " + sent.key + "\r\nX-Nonce: " + sent.nonce
            + "\r\nX-Work-Ms: 5\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
        const auto [headError, headSent] = co_await asio::async_write(socket, asio::buffer(head), token);
        if (connectError || headError)
            co_return std::nullopt;
        for (size_t done = 0; done < size; done += piece) {
            const std::string bytes(std::min(piece, size - done), 'u');
            const auto [error, written] = co_await asio::async_write(socket, asio::buffer(bytes), token);
            if (error)
                break; // the request may have been refused: read the response
            co_await sleepFor(Millis(100));
        }
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        const auto [error, got] = co_await http::async_read(socket, buffer, response, token);
        if (error)
            co_return std::nullopt;
        co_return response;
    }

    asio::awaitable<void> sendOne(unsigned index)
    {
        ++m_open;
        Sent& sent = m_sent[index];
        const HttpCall call = makeCall(sent, index);
        HostEndpoint& host = pickHost();
        sent.host = host.name;
        sent.startMicros = m_clock.monotonicMicros();
        const HttpReply reply = co_await host.client->send(call, Millis(absl::GetFlag(FLAGS_timeout_ms)));
        sent.micros = m_clock.monotonicMicros() - sent.startMicros;
        sent.status = reply.status;
        sent.ran = reply.header("Cumindale-Ran");
        sent.error = reply.header("Cumindale-Error");
        if (!reply.hasResponse())
            host.avoidUntil = m_clock.now() + avoidFailedHost;
        if (reply.status == 200)
            sent.wrong = !matches(reply.body, sent, call.body.size());
        --m_open;
    }

    static bool matches(const std::string& body, const Sent& sent, size_t bodySize)
    {
        boost::system::error_code error;
        const auto value = json::parse(body, error);
        if (error || !value.is_object())
            return false;
        return value.at("nonce").as_string() == sent.nonce && value.at("key").as_string() == sent.key
            && value.at("received").to_number<size_t>() == bodySize;
    }

    asio::any_io_executor m_executor;
    SystemClock m_clock;
    std::mt19937_64 m_random;
    std::vector<HostEndpoint> m_hosts;
    size_t m_nextHost = 0;
    std::vector<Sent> m_sent;
    size_t m_open = 0;
    bool m_done = false;
};

std::map<std::string, std::vector<Run>> readRecords(const std::string& folder)
{
    std::map<std::string, std::vector<Run>> runs; // by nonce
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".record")
            continue;
        std::ifstream in(file.path());
        std::string line;
        while (std::getline(in, line)) {
            std::istringstream words(line);
            std::string what;
            std::string nonce;
            words >> what >> nonce;
            if (what == "B") {
                Run run;
                std::string method;
                std::string fence;
                run.server = file.path().stem();
                words >> run.key >> method >> fence >> run.begin;
                runs[nonce].push_back(run);
            } else if (what == "E" && !runs[nonce].empty()) {
                words >> runs[nonce].back().end;
            }
        }
    }
    return runs;
}

// Counts pairs of runs of one key that overlap in time on different servers.
size_t overlaps(const std::map<std::string, std::vector<Run>>& runs)
{
    std::map<std::string, std::vector<Run>> byKey;
    for (const auto& [nonce, list] : runs) {
        for (const auto& run : list) {
            if (run.end)
                byKey[run.key].push_back(run);
        }
    }
    size_t found = 0;
    for (auto& [key, list] : byKey) {
        std::sort(list.begin(), list.end(), [](const Run& a, const Run& b) { return a.begin < b.begin; });
        for (size_t i = 0; i < list.size(); ++i) {
            for (size_t j = i + 1; j < list.size() && list[j].begin < list[i].end; ++j)
                found += list[j].server != list[i].server;
        }
    }
    return found;
}

int64_t percentile(std::vector<int64_t>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
}

json::object judge(const std::vector<Sent>& all)
{
    const auto killedList = absl::GetFlag(FLAGS_killed);
    const std::set<std::string> killed(killedList.begin(), killedList.end());
    const std::string folder = absl::GetFlag(FLAGS_records);
    const auto runs = folder.empty() ? std::map<std::string, std::vector<Run>>() : readRecords(folder);
    size_t answered = 0, ok = 0, wrong = 0, lost = 0, ranTwice = 0, misled = 0;
    std::map<std::string, size_t> errors;
    std::vector<int64_t> times;
    std::map<std::string, std::vector<int64_t>> byKind;
    std::map<std::string, int64_t> failedSince; // time of the first failed response since the last success, by key
    int64_t longestGap = 0; // from a request to the next response for the same key
    for (const auto& sent : all) {
        answered += sent.status != 0;
        wrong += sent.wrong;
        lost += !sent.status && !killed.count(sent.host);
        if (sent.status == 200) {
            ++ok;
            times.push_back(sent.micros);
            byKind[sent.kind].push_back(sent.micros);
        } else {
            ++errors[sent.status ? (sent.error.empty() ? std::to_string(sent.status) : sent.error) : "no-answer"];
        }
        if (sent.status == 200) {
            const auto since = failedSince.find(sent.key);
            const int64_t from = since == failedSince.end() ? sent.startMicros : since->second;
            longestGap = std::max(longestGap, sent.startMicros + sent.micros - from);
            failedSince.erase(sent.key);
        } else if (sent.status != 200 && sent.status) {
            failedSince.try_emplace(sent.key, sent.startMicros);
        }
        if (folder.empty())
            continue;
        const auto found = runs.find(sent.nonce);
        const size_t timesRun = found == runs.end() ? 0 : found->second.size();
        ranTwice += !sent.idempotent && timesRun > 1;
        misled += (sent.ran == "no" && timesRun > 0) || (sent.status == 200 && timesRun == 0);
    }
    json::object byError;
    for (const auto& [error, count] : errors)
        byError[error] = count;
    json::object result;
    result["requests"] = all.size();
    result["answered"] = answered;
    result["ok"] = ok;
    result["wrong"] = wrong;
    result["lost"] = lost;
    result["ranTwice"] = ranTwice;
    result["misled"] = misled;
    result["twoOwners"] = folder.empty() ? 0 : overlaps(runs);
    result["p50ms"] = static_cast<double>(percentile(times, 0.50)) / 1000.0;
    result["p99ms"] = static_cast<double>(percentile(times, 0.99)) / 1000.0;
    result["longestGapMs"] = longestGap / 1000;
    json::object kinds;
    for (auto& [kind, micros] : byKind)
        kinds[kind] = json::object { { "served", micros.size() },
            { "p99ms", static_cast<double>(percentile(micros, 0.99)) / 1000.0 } };
    result["kinds"] = std::move(kinds);
    result["errors"] = std::move(byError);
    return result;
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context { 1 };
    Load load(context.get_executor());
    asio::co_spawn(context, load.run(), [](std::exception_ptr error) {
        if (error)
            std::rethrow_exception(error);
    });
    context.run();
    const json::object verdict = judge(load.sent());
    std::cout << json::serialize(verdict) << '\n';
    const auto count = [&](std::string_view name) { return verdict.at(name).to_number<int64_t>(); };
    return count("wrong") || count("ranTwice") || count("misled") || count("twoOwners") ? 1 : 0;
}
