// Fake backend server for tests: has a number of slots, simulates work, honours deadlines and fencing tokens, and
// records which request ran for which key from when until when. The tests check the system by these records.
//
// A request carries X-Nonce (its identity) and X-Work-Ms. The record has one line when work begins,
// "B NONCE KEY METHOD FENCE MICROS", and one when work ends: "E NONCE MICROS", or "A NONCE MICROS" if the process was
// suspended during the work and abandoned the work because its deadline had passed. MICROS is the machine's monotonic
// clock.
//
//     POST /standin/faults {"shed": 0..1, "delayMs": n, "answer": "whole|cut|wrong", "muteHost": NAME,
//                            "silenceOpen": bool: connections open now get no more responses, new ones do}
#include "base/Time.h"
#include "web/HttpServer.h"
#include "web/Signal.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <set>
#include <unistd.h>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(uint16_t, port, 7200, "port");
ABSL_FLAG(std::string, name, "server", "server name, included in responses");
ABSL_FLAG(unsigned, slots, 4, "requests processed concurrently");
ABSL_FLAG(unsigned, queue, 1000, "requests waiting for a slot; more are shed");
ABSL_FLAG(bool, checks_grants, false, "refuse fences lower than the highest seen for a key");
ABSL_FLAG(std::string, record, "", "file to record executed requests in");

namespace {

using namespace cumindale;
namespace asio = boost::asio;
namespace json = boost::json;

class BackendStandIn {
public:
    explicit BackendStandIn(asio::any_io_executor executor)
        : m_freed(std::move(executor))
        , m_name(absl::GetFlag(FLAGS_name))
        , m_slots(absl::GetFlag(FLAGS_slots))
        , m_queue(absl::GetFlag(FLAGS_queue))
        , m_checksGrants(absl::GetFlag(FLAGS_checks_grants))
    {
        const std::string file = absl::GetFlag(FLAGS_record);
        if (!file.empty())
            m_record = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    }

    asio::awaitable<std::optional<ServedResponse>> answer(
        const ServedRequest& request, boost::beast::tcp_stream& stream)
    {
        const std::string path = parseTarget(request.target()).path;
        const uint16_t connection = stream.socket().remote_endpoint().port();
        while (m_silenced.count(connection))
            co_await sleepFor(Millis(50)); // simulates a middlebox that dropped the connection's state
        m_open.insert(connection);
        while (!m_muteHost.empty() && request["Cumindale-Host"] == m_muteHost)
            co_await sleepFor(Millis(50)); // simulates a network partition from this host
        if (path == "/health")
            co_return makeResponse(200, "{}");
        if (path == "/standin/faults") {
            readFaults(json::parse(request.body()).as_object());
            co_return makeResponse(200, "{}");
        }
        if (shouldShed())
            co_return refuse("shed");
        ++m_waiting;
        while (m_busy >= m_slots)
            co_await m_freed.wait(Millis(1000));
        --m_waiting;
        if (const auto why = reasonToRefuse(request, stream); !why.empty()) {
            m_freed.notifyAll();
            co_return refuse(why);
        }
        ++m_busy;
        const std::string nonce(request["X-Nonce"]);
        const std::string key(request["Case-Key"]);
        begin(nonce, key, request);
        const auto work = std::strtoll(std::string(request["X-Work-Ms"]).c_str(), nullptr, 10);
        if (work || m_delay.count())
            co_await sleepFor(Millis(work) + m_delay);
        // The process was suspended during the work until after the deadline: abandon the work on resumption.
        const bool aborted = pastDeadline(request);
        end(nonce, aborted);
        --m_busy;
        m_freed.notifyAll();
        if (aborted)
            co_return makeResponse(504, R"({"aborted":"deadline"})");
        co_return finish(request, nonce, key);
    }

private:
    void readFaults(const json::object& faults)
    {
        m_shedFraction = faults.contains("shed") ? faults.at("shed").to_number<double>() : 0;
        m_delay = Millis(faults.contains("delayMs") ? faults.at("delayMs").to_number<int64_t>() : 0);
        if (faults.contains("silenceOpen"))
            m_silenced = std::exchange(m_open, {});
        m_muteHost = faults.contains("muteHost") ? std::string(faults.at("muteHost").as_string()) : "";
        m_answer = faults.contains("answer") ? std::string(faults.at("answer").as_string()) : "whole";
    }

    bool shouldShed()
    {
        m_shedAccumulator += m_shedFraction;
        if (m_shedAccumulator >= 1) {
            m_shedAccumulator -= 1;
            return true;
        }
        return m_waiting >= m_queue;
    }

    std::string reasonToRefuse(const ServedRequest& request, boost::beast::tcp_stream& stream)
    {
        if (pastDeadline(request))
            return "deadline";
        char byte = 0;
        if (::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            return "cancelled";
        if (!m_checksGrants)
            return {};
        const int64_t fence = std::strtoll(std::string(request["Cumindale-Fence"]).c_str(), nullptr, 10);
        int64_t& highest = m_fences[std::string(request["Case-Key"])];
        if (fence < highest)
            return "fence";
        highest = fence;
        return {};
    }

    bool pastDeadline(const ServedRequest& request) const
    {
        const std::string deadline(request["Cumindale-Deadline"]);
        return !deadline.empty() && m_clock.unixMillis() >= std::strtoll(deadline.c_str(), nullptr, 10);
    }

    ServedResponse refuse(const std::string& why)
    {
        auto response = makeResponse(503, "{\"refused\":\"" + why + "\"}");
        response.set("Cumindale-Ran", "no");
        return response;
    }

    std::optional<ServedResponse> finish(const ServedRequest& request, const std::string& nonce, const std::string& key)
    {
        if (m_answer == "cut")
            return std::nullopt; // the request ran; close the connection without a response
        const std::string body = json::serialize(
            json::object { { "server", m_name }, { "nonce", m_answer == "wrong" ? "someone-else" : nonce },
                { "key", key }, { "received", request.body().size() } });
        auto response = makeResponse(200, body);
        response.set("Cumindale-Request-Id", m_answer == "wrong" ? "someone-else" : request["Cumindale-Request-Id"]);
        return response;
    }

    void begin(const std::string& nonce, const std::string& key, const ServedRequest& request)
    {
        writeRecord("B " + nonce + " " + key + " " + std::string(request.method_string()) + " "
            + std::string(request["Cumindale-Fence"].empty() ? "0" : request["Cumindale-Fence"]) + " "
            + std::to_string(m_clock.monotonicMicros()) + "\n");
    }

    void end(const std::string& nonce, bool aborted)
    {
        writeRecord((aborted ? "A " : "E ") + nonce + " " + std::to_string(m_clock.monotonicMicros()) + "\n");
    }

    void writeRecord(const std::string& line)
    {
        if (m_record < 0)
            return;
        if (::write(m_record, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
            std::abort(); // results can't be checked without the record
    }

    SystemClock m_clock;
    Signal m_freed;
    std::string m_name;
    unsigned m_slots;
    unsigned m_queue;
    bool m_checksGrants;
    int m_record = -1;
    unsigned m_busy = 0;
    unsigned m_waiting = 0;
    double m_shedFraction = 0;
    double m_shedAccumulator = 0;
    Millis m_delay { 0 };
    std::string m_muteHost;
    std::set<uint16_t> m_open; // connections seen, by remote port
    std::set<uint16_t> m_silenced;
    std::string m_answer = "whole";
    std::map<std::string, int64_t> m_fences;
};

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context { 1 };
    BackendStandIn backend(context.get_executor());
    const HttpServer server(context.get_executor(), absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port),
        [&backend](const ServedRequest& request, boost::beast::tcp_stream& stream) {
            return backend.answer(request, stream);
        });
    context.run();
    return 0;
}
