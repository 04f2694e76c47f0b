// HTTP load generator over keep-alive connections: closed loop (each connection sends its next request as soon as it
// has the response), or at a fixed rate. Sends the same lookup with varying keys and measures the time until the
// response is complete. The last line of output is JSON.
#include "base/Time.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <thread>

ABSL_FLAG(std::vector<std::string>, targets, { "127.0.0.1:7111" },
    "endpoints, ADDRESS:PORT, assigned to connections in turn");
ABSL_FLAG(unsigned, connections, 32, "keep-alive connections over all threads");
ABSL_FLAG(unsigned, threads, 2, "threads that generate load");
ABSL_FLAG(double, seconds, 5, "how long");
ABSL_FLAG(double, rate, 0, "requests a second over all connections; 0: closed loop");
ABSL_FLAG(unsigned, keys, 1000, "distinct keys");
ABSL_FLAG(std::string, path, "/tracing/lookup", "path");

namespace {

using namespace cumindale;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto token = asio::as_tuple(asio::use_awaitable);

struct Tally {
    std::vector<int64_t> micros;
    size_t failed = 0;
};

// Reads one response; returns false if the connection failed. Sets `status` to the HTTP status code.
asio::awaitable<bool> readAnswer(tcp::socket& socket, std::string& buffer, int& status)
{
    const auto [error, head] = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", token);
    if (error)
        co_return false;
    status = std::atoi(buffer.c_str() + 9);
    const auto field = buffer.find("Content-Length: ");
    const size_t length = field == std::string::npos ? 0 : std::strtoul(buffer.c_str() + field + 16, nullptr, 10);
    while (buffer.size() < head + length) {
        const auto [more, got] = co_await asio::async_read(
            socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(head + length - buffer.size()), token);
        if (more)
            co_return false;
    }
    buffer.erase(0, head + length);
    co_return true;
}

asio::awaitable<void> runConnection(unsigned index, std::string target, Tally& tally)
{
    const SystemClock clock;
    const auto executor = co_await asio::this_coro::executor;
    const auto colon = target.rfind(':');
    tcp::socket socket(executor);
    const auto port = static_cast<uint16_t>(std::stoi(target.substr(colon + 1)));
    const auto [error]
        = co_await socket.async_connect({ asio::ip::make_address(target.substr(0, colon)), port }, token);
    if (error) {
        ++tally.failed;
        co_return;
    }
    socket.set_option(tcp::no_delay(true));
    const double rate = absl::GetFlag(FLAGS_rate);
    const unsigned connections = absl::GetFlag(FLAGS_connections);
    const unsigned keys = absl::GetFlag(FLAGS_keys);
    const std::string path = absl::GetFlag(FLAGS_path);
    const int64_t start = clock.monotonicMicros();
    const auto end = start + static_cast<int64_t>(absl::GetFlag(FLAGS_seconds) * 1e6);
    asio::steady_timer timer(executor);
    std::string buffer;
    for (uint64_t i = 0;; ++i) {
        int64_t due = clock.monotonicMicros();
        if (rate > 0) {
            due = start + static_cast<int64_t>((static_cast<double>(i) * connections + index) * 1e6 / rate);
            const int64_t early = due - clock.monotonicMicros();
            if (early > 0) {
                timer.expires_after(std::chrono::microseconds(early));
                co_await timer.async_wait(token);
            }
            due = clock.monotonicMicros();
        }
        if (due >= end)
            co_return;
        const std::string key = std::to_string((i * connections + index) % keys);
        const std::string request
            = "GET " + path + " HTTP/1.1\r\nHost: b\r\nCase-Key: case-" + key + "\r\nX-Nonce: n\r\n\r\n";
        const auto [writeError, sent] = co_await asio::async_write(socket, asio::buffer(request), token);
        int status = 0;
        if (writeError || !co_await readAnswer(socket, buffer, status)) {
            ++tally.failed;
            co_return;
        }
        if (status != 200)
            ++tally.failed;
        tally.micros.push_back(clock.monotonicMicros() - due);
    }
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto targets = absl::GetFlag(FLAGS_targets);
    const unsigned threads = absl::GetFlag(FLAGS_threads);
    std::vector<Tally> tallies(absl::GetFlag(FLAGS_connections));
    std::vector<std::thread> running;
    for (unsigned t = 0; t < threads; ++t) {
        running.emplace_back([&, t] {
            asio::io_context context { 1 };
            for (unsigned c = t; c < tallies.size(); c += threads)
                asio::co_spawn(context, runConnection(c, targets[c % targets.size()], tallies[c]), asio::detached);
            context.run();
        });
    }
    for (auto& thread : running)
        thread.join();
    std::vector<int64_t> all;
    size_t failed = 0;
    for (const auto& tally : tallies) {
        all.insert(all.end(), tally.micros.begin(), tally.micros.end());
        failed += tally.failed;
    }
    std::sort(all.begin(), all.end());
    const auto at = [&](double share) {
        return all.empty() ? 0 : all[static_cast<size_t>(share * static_cast<double>(all.size() - 1))];
    };
    std::cout << boost::json::serialize(boost::json::object { { "requests", all.size() }, { "failed", failed },
        { "perSecond", static_cast<int64_t>(static_cast<double>(all.size()) / absl::GetFlag(FLAGS_seconds)) },
        { "p50us", at(0.5) }, { "p99us", at(0.99) } })
              << '\n';
    return 0;
}
