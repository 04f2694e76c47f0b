// Callers on thin links: each asks for a large answer, reads it slowly, and sends two further safe requests on the same
// connection before it has read all of it. Writes what was sent and received.
//
//     slow-callers PORT CALLERS BYTES-PER-SECOND FIRST-AFTER-MS SECOND-AFTER-MS BUDGET-MS
//
// One line for each caller: "CALLER ID STATUS RECEIVED-BYTES EXPECTED-BYTES END AFTER-MS" for its first request. END is
// "complete", "reset", "closed" or "budget" (its time was over).
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t pieceBytes = 8'192; // that a caller reads at once

struct Plan {
    uint16_t port = 0;
    int callers = 0;
    double bytesPerMillisecond = 0;
    std::array<int64_t, 2> furtherAfter {}; // ms
    int64_t budget = 0; // ms
};

struct Result {
    std::string id;
    int status = 0;
    size_t received = 0;
    size_t expected = 0;
    const char* end = "closed";
    int64_t after = 0;
};

int64_t millisSince(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

// A link with a small window and packets of usual size.
int connectThinly(uint16_t port)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const int window = 4'096;
    const int segment = 1'400;
    ::setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    ::setsockopt(connection, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return connection;
    ::close(connection);
    return -1;
}

void sendRequest(int connection, const std::string& id, int64_t budget)
{
    const std::string request = "GET /book/" + id + " HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: " + id
        + "\r\nX-Request-Deadline-Ms: " + std::to_string(budget) + "\r\n\r\n";
    ::send(connection, request.data(), request.size(), MSG_NOSIGNAL);
}

// Takes the status and the length from the head, once it is there.
void readHead(const std::string& text, Result& result, size_t& headBytes)
{
    const size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    headBytes = end + 4;
    constexpr size_t statusAt = 9; // after "HTTP/1.1 "
    result.status = std::atoi(text.c_str() + statusAt);
    const std::string name = "Content-Length: ";
    const size_t length = text.find(name);
    if (length < end)
        result.expected = std::strtoul(text.c_str() + length + name.size(), nullptr, 10);
}

Result ask(const Plan& plan, int caller)
{
    Result result;
    const std::string prefix = "r" + std::to_string(caller) + "-";
    result.id = prefix + "1";
    const int connection = connectThinly(plan.port);
    if (connection < 0)
        return result;
    const auto start = Clock::now();
    sendRequest(connection, result.id, plan.budget);
    std::string head;
    size_t headBytes = 0;
    size_t total = 0;
    size_t further = 0;
    for (;;) {
        result.after = millisSince(start);
        result.received = headBytes ? total - headBytes : 0;
        if (headBytes && result.received >= result.expected) {
            result.received = result.expected; // what follows belongs to the next response
            result.end = "complete";
            break;
        }
        if (result.after >= plan.budget) {
            result.end = "budget";
            break;
        }
        if (further < plan.furtherAfter.size() && result.after >= plan.furtherAfter[further]) {
            ++further;
            sendRequest(connection, prefix + std::to_string(further + 1), plan.budget - result.after);
        }
        constexpr int pause = 5; // ms
        const auto allowed = static_cast<size_t>(plan.bytesPerMillisecond * static_cast<double>(result.after + pause));
        pollfd waiting { connection, POLLIN, 0 };
        if (total + pieceBytes > allowed || ::poll(&waiting, 1, pause) <= 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(pause));
            continue;
        }
        std::array<char, pieceBytes> bytes;
        const ssize_t got = ::recv(connection, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            result.end = got == 0 ? "closed" : "reset";
            break;
        }
        total += static_cast<size_t>(got);
        if (!headBytes) {
            head.append(bytes.data(), static_cast<size_t>(got));
            readHead(head, result, headBytes);
        }
    }
    ::close(connection);
    return result;
}

}

int main(int argc, char** argv)
{
    if (argc != 7)
        return 2;
    Plan plan;
    plan.port = static_cast<uint16_t>(std::atoi(argv[1]));
    plan.callers = std::atoi(argv[2]);
    plan.bytesPerMillisecond = std::atof(argv[3]) / 1'000;
    plan.furtherAfter = { std::atoi(argv[4]), std::atoi(argv[5]) };
    plan.budget = std::atoi(argv[6]);
    std::vector<Result> results(static_cast<size_t>(plan.callers));
    std::vector<std::thread> threads;
    threads.reserve(results.size());
    for (int caller = 0; caller < plan.callers; ++caller)
        threads.emplace_back([&, caller] { results[static_cast<size_t>(caller)] = ask(plan, caller); });
    for (auto& thread : threads)
        thread.join();
    for (int caller = 0; caller < plan.callers; ++caller) {
        const Result& result = results[static_cast<size_t>(caller)];
        std::printf("caller-%d %s %d %zu %zu %s %ld\n", caller, result.id.c_str(), result.status, result.received,
            result.expected, result.end, static_cast<long>(result.after));
    }
    return 0;
}
