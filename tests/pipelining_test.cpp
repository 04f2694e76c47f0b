// Requests that callers send before earlier ones on the same connection are answered, and callers that read slowly.
#include "callers/CallerServer.h"
#include "web/HttpServer.h"
#include "web/Signal.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <thread>

using namespace cumindale;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Runs each request for as long as its header X-Work-Ms says and answers with X-Bytes bytes. GET requests may overlap.
class WorkingHandler final : public RequestHandler {
public:
    RequestPolicy requestPolicy(const CallerHeader& header) override
    {
        return { ErrorKind::None, 1'000'000, header.method() == http::verb::get };
    }

    asio::awaitable<CallerResponse> handle(CallerRequest& request, CallerConnection& caller) override
    {
        started.emplace_back(request.target());
        ++running;
        mostRunning = std::max(mostRunning, running);
        if (request.method() != http::verb::get)
            runningBesideSubmission = running - 1;
        caller.onDisconnect = [this] { ++cancelled; };
        co_await sleepFor(Millis(numberIn(request, "X-Work-Ms")));
        caller.onDisconnect = nullptr;
        --running;
        finished.emplace_back(request.target());
        CallerResponse response { http::status::ok, 11 };
        response.body()
            = std::string(request.target()) + std::string(static_cast<size_t>(numberIn(request, "X-Bytes")), 'b');
        co_return response;
    }

    CallerResponse errorResponse(ErrorKind kind, const CallerHeader&) override
    {
        CallerResponse response { http::int_to_status(errorInfo(kind).status), 11 };
        response.body() = errorInfo(kind).name;
        return response;
    }

    bool ready() const override { return true; }

    std::vector<std::string> started;
    std::vector<std::string> finished;
    size_t running = 0;
    size_t mostRunning = 0;
    size_t runningBesideSubmission = 0;
    size_t cancelled = 0;

private:
    static long numberIn(const CallerRequest& request, std::string_view name)
    {
        return std::strtol(std::string(request[name]).c_str(), nullptr, 10);
    }
};

struct ReceivedResponse {
    int status = 0;
    std::string body;
    bool keepAlive = false;
};

// One caller's connection. Blocking: the server runs on a thread of its own.
class TestCaller {
public:
    explicit TestCaller(uint16_t port, int receiveBuffer = 0)
        : m_socket(m_context)
    {
        m_socket.open(tcp::v4());
        if (receiveBuffer)
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    // Until so many bytes are sent or the connection fails. Returns how many were sent. `pause`: so that the server
    // reads each piece by itself.
    size_t sendRepeated(const std::string& begin, const std::string& repeated, size_t bytes, Millis pause = Millis(0))
    {
        boost::system::error_code error;
        size_t sent = asio::write(m_socket, asio::buffer(begin), error);
        while (!error && sent < bytes) {
            sent += asio::write(m_socket, asio::buffer(repeated), error);
            std::this_thread::sleep_for(pause);
        }
        return sent;
    }

    std::optional<ReceivedResponse> receive()
    {
        http::response<http::string_body> response;
        boost::beast::error_code error;
        http::read(m_socket, m_buffer, response, error);
        if (error)
            return std::nullopt;
        return ReceivedResponse { static_cast<int>(response.result_int()), response.body(), response.keep_alive() };
    }

    size_t readSome(size_t bytes) // of what has arrived
    {
        std::string chunk(bytes, '\0');
        boost::system::error_code error;
        m_socket.non_blocking(true);
        const size_t received = m_socket.read_some(asio::buffer(chunk), error);
        m_socket.non_blocking(false);
        return received;
    }

    size_t readRest() // until the connection ends
    {
        std::string rest;
        boost::system::error_code error;
        return asio::read(m_socket, asio::dynamic_buffer(rest), error);
    }

    void close() { m_socket.close(); }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

struct CallerFixture {
    explicit CallerFixture(CallerLimits limits = {})
        : work(asio::make_work_guard(context))
    {
        server = std::make_unique<CallerServer>(
            context.get_executor(), clock, "127.0.0.1", uint16_t(0), limits, handler, metrics);
        port = server->port();
        thread = std::thread([this] { context.run(); });
    }
    ~CallerFixture()
    {
        context.stop();
        thread.join();
    }

    // Runs a task on the server's thread, which owns the handler.
    template <typename Task> auto onServer(Task task)
    {
        std::packaged_task<decltype(task())()> packaged(std::move(task));
        auto result = packaged.get_future();
        asio::post(context, [&packaged] { packaged(); });
        return result.get();
    }

    template <typename Condition> bool waitFor(Condition condition, int seconds = 5)
    {
        for (int i = 0; i < seconds * 100; ++i) {
            if (onServer(condition))
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    uint64_t metric(const std::string& name) { return metrics.counter(name).value(); }

    SystemClock clock;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    Metrics metrics;
    WorkingHandler handler;
    std::unique_ptr<CallerServer> server;
    uint16_t port = 0;
    std::thread thread;
};

std::string get(const std::string& path, int workMillis = 0, size_t bytes = 0)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Work-Ms: " + std::to_string(workMillis)
        + "\r\nX-Bytes: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string post(const std::string& path, int workMillis = 0)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Work-Ms: " + std::to_string(workMillis)
        + "\r\nContent-Length: 4\r\n\r\nbody";
}

}

TEST_CASE("ten requests in one write are answered in order, each with its own response")
{
    CallerFixture fixture;
    TestCaller caller(fixture.port);
    std::string requests;
    for (int i = 0; i < 10; ++i)
        requests += get("/" + std::to_string(i), (10 - i) * 5, 100 * static_cast<size_t>(i));
    caller.send(requests);
    for (int i = 0; i < 10; ++i) {
        const auto response = caller.receive();
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == "/" + std::to_string(i) + std::string(100 * static_cast<size_t>(i), 'b'));
        CHECK(response->keepAlive);
    }
}

// Guards against requests that miss their target because they wait for an unrelated slow one: their callers see the sum
// of the times of all requests on the connection.
TEST_CASE("requests behind a slow one run while it does")
{
    CallerFixture fixture;
    TestCaller caller(fixture.port);
    const auto begun = std::chrono::steady_clock::now();
    caller.send(get("/slow", 400));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.send(get("/quick-1", 300) + get("/quick-2", 300));
    CHECK(fixture.waitFor([&] { return fixture.handler.finished.size() == 2; }));
    CHECK(fixture.onServer([&] { return fixture.handler.finished.front(); }) == "/quick-1");
    for (const char* path : { "/slow", "/quick-1", "/quick-2" })
        CHECK(caller.receive().value_or(ReceivedResponse {}).body == path);
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(700)); // the sum is 1,000 ms
    CHECK(fixture.metric("callers_overlapping_requests") == 2);
}

// Guards against a submission that overtakes an earlier request or is overtaken: the caller relies on their order.
TEST_CASE("a request that isn't idempotent runs alone, in its turn")
{
    CallerFixture fixture;
    TestCaller caller(fixture.port);
    caller.send(get("/1", 60) + get("/2", 30) + post("/3", 40) + get("/4") + get("/5"));
    for (const char* path : { "/1", "/2", "/3", "/4", "/5" })
        CHECK(caller.receive().value_or(ReceivedResponse {}).body == path);
    fixture.onServer([&] {
        CHECK(fixture.handler.started == std::vector<std::string> { "/1", "/2", "/3", "/4", "/5" });
        CHECK(fixture.handler.runningBesideSubmission == 0);
        CHECK(fixture.handler.mostRunning == 2);
        return true;
    });
}

// Guards against one connection that takes all slots and memory of a host.
TEST_CASE("a hundred requests in one write run a few at a time, and other callers are served meanwhile")
{
    CallerFixture fixture;
    TestCaller caller(fixture.port);
    std::string requests;
    for (int i = 0; i < 100; ++i)
        requests += get("/" + std::to_string(i), 10);
    caller.send(requests);
    TestCaller other(fixture.port);
    other.send(get("/other"));
    CHECK(other.receive().value_or(ReceivedResponse {}).body == "/other");
    for (int i = 0; i < 100; ++i)
        CHECK(caller.receive().value_or(ReceivedResponse {}).body == "/" + std::to_string(i));
    const size_t most = fixture.onServer([&] { return fixture.handler.mostRunning; });
    CHECK(most <= CallerLimits {}.pipelinedRequests + 1); // and that of the other caller
    CHECK(most >= CallerLimits {}.pipelinedRequests);
}

// Guards against work for a caller that has gone: its requests are cancelled, and those not yet started never run.
TEST_CASE("when the caller disconnects, requests in progress are cancelled and none is started")
{
    CallerFixture fixture;
    TestCaller caller(fixture.port);
    std::string requests;
    for (int i = 0; i < 20; ++i)
        requests += get("/" + std::to_string(i), 300);
    caller.send(requests);
    CHECK(fixture.waitFor([&] { return fixture.handler.running == CallerLimits {}.pipelinedRequests; }));
    caller.close();
    CHECK(fixture.waitFor([&] { return fixture.handler.cancelled == CallerLimits {}.pipelinedRequests; }));
    CHECK(fixture.waitFor([&] { return fixture.handler.running == 0; }));
    CHECK(fixture.waitFor([&] { return fixture.server->connections() == 0; }));
    CHECK(fixture.onServer([&] { return fixture.handler.started.size(); }) == CallerLimits {}.pipelinedRequests);
}

// Guards against a request that runs although its caller takes it for unread and sends it again.
TEST_CASE("a request behind a response that closes the connection is not run")
{
    CallerFixture fixture;
    TestCaller caller(fixture.port);
    SUBCASE("because the caller asked for it")
    {
        caller.send("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Work-Ms: 50\r\n\r\n" + get("/behind"));
        CHECK(caller.receive().value_or(ReceivedResponse {}).body == "/last");
    }
    SUBCASE("because an invalid request came before it")
    {
        caller.send(get("/first", 50) + "nonsense\r\n\r\n" + get("/behind"));
        CHECK(caller.receive().value_or(ReceivedResponse {}).body == "/first");
        const auto refusal = caller.receive();
        REQUIRE(refusal);
        CHECK(refusal->status == 400);
        CHECK_FALSE(refusal->keepAlive);
    }
    SUBCASE("because a body contradicts its length")
    {
        caller.send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}}}" + get("/behind"));
        CHECK(caller.receive().value_or(ReceivedResponse {}).body == "/short");
        CHECK(caller.receive().value_or(ReceivedResponse {}).status == 400);
    }
    SUBCASE("because headers without end came before it")
    {
        caller.send(get("/first", 20) + "GET /endless HTTP/1.1\r\nX: " + std::string(40'000, 'x'));
        CHECK(caller.receive().value_or(ReceivedResponse {}).body == "/first");
        CHECK(caller.receive().value_or(ReceivedResponse {}).status == 431);
    }
    CHECK_FALSE(caller.receive());
    const auto started = fixture.onServer([&] { return fixture.handler.started; });
    CHECK(std::find(started.begin(), started.end(), "/behind") == started.end());
    TestCaller other(fixture.port);
    other.send(get("/other"));
    CHECK(other.receive().value_or(ReceivedResponse {}).body == "/other");
}

// Guards against requests that are lost when a host is stopped: each one that was started is answered.
TEST_CASE("while a host drains, requests that have started are answered and those behind them are not run")
{
    CallerFixture fixture;
    TestCaller caller(fixture.port);
    std::string requests;
    for (int i = 0; i < 20; ++i)
        requests += get("/" + std::to_string(i), 200);
    caller.send(requests);
    CHECK(fixture.waitFor([&] { return fixture.handler.running == CallerLimits {}.pipelinedRequests; }));
    fixture.onServer([&] {
        fixture.server->startDraining();
        return true;
    });
    size_t answered = 0;
    bool keepAlive = true;
    while (const auto response = caller.receive()) {
        CHECK(keepAlive); // no response follows one that closes the connection
        CHECK(response->body == "/" + std::to_string(answered++));
        keepAlive = response->keepAlive;
    }
    CHECK_FALSE(keepAlive);
    CHECK(fixture.onServer([&] { return fixture.handler.started.size(); }) == answered);
    CHECK(answered < 20);
}

// Guards against memory that grows with the number of callers that don't read: responses are held for them, and nobody
// else could be served in the end.
TEST_CASE("callers that read slowly take a bounded amount of memory, and others are served")
{
    constexpr size_t responseBytes = 12'000'000; // more than the buffers of a connection hold
    CallerLimits limits;
    limits.responseMemory = 48'000'000;
    CallerFixture fixture(limits);
    std::vector<std::unique_ptr<TestCaller>> slow;
    constexpr int receiveBuffer = 4'096;
    for (int i = 0; i < 12; ++i) {
        slow.push_back(std::make_unique<TestCaller>(fixture.port, receiveBuffer));
        slow.back()->send(get("/slow", 10, responseBytes));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    size_t served = 0;
    for (int i = 0; i < 40; ++i) {
        TestCaller other(fixture.port);
        other.send(get("/other"));
        served += other.receive().value_or(ReceivedResponse {}).status == 200;
        for (size_t reader = 0; reader < 2; ++reader)
            slow[reader]->readSome(1'000);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(served >= 25); // refused at first, until the slowest readers have been closed
    CHECK(fixture.metric("callers_slow_readers_closed") > 0);
    CHECK(fixture.metric("callers_slow_readers_closed") < 12);
    const size_t started = fixture.onServer([&] { return fixture.handler.started.size(); });
    CHECK(started - served <= limits.responseMemory / responseBytes + 1);
}

// Guards against a caller that sends on and on without reading its responses.
TEST_CASE("a connection whose responses aren't read runs no further requests")
{
    CallerLimits limits;
    limits.connectionResponseBytes = 100'000;
    CallerFixture fixture(limits);
    constexpr int receiveBuffer = 4'096;
    TestCaller caller(fixture.port, receiveBuffer);
    std::string requests;
    for (int i = 0; i < 40; ++i)
        requests += get("/" + std::to_string(i), 1, 3'000'000);
    caller.send(requests);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(fixture.onServer([&] { return fixture.handler.started.size(); }) <= CallerLimits {}.pipelinedRequests);
}

// Guards against a last response that is cut off by a reset, because the caller has sent something behind its request.
TEST_CASE("a caller that sends a request behind its last one receives the last response whole")
{
    constexpr int receiveBuffer = 4'096;
    constexpr size_t responseBytes = 300'000;
    for (const bool draining : { true, false }) {
        CAPTURE(draining);
        CallerFixture fixture;
        TestCaller caller(fixture.port, receiveBuffer);
        caller.send(get("/before"));
        REQUIRE(caller.receive());
        if (draining)
            fixture.onServer([&] { fixture.server->startDraining(); });
        std::string last = get("/last", 60, responseBytes);
        if (!draining)
            last.insert(last.size() - 2, "Connection: close\r\n");
        caller.send(last);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        caller.send(get("/behind"));
        std::this_thread::sleep_for(std::chrono::milliseconds(100)); // the response has been written
        const auto response = caller.receive();
        REQUIRE(response);
        CHECK(response->body.size() == responseBytes + std::string("/last").size());
        CHECK_FALSE(response->keepAlive);
    }
}

// Guards against a response that is cut off by a reset when its host is stopped: its head was written before, so it
// doesn't close the connection, and the caller has sent further requests since, which are not read.
TEST_CASE("a response that was begun before its host was stopped arrives whole, whatever follows its request")
{
    constexpr int receiveBuffer = 65'536;
    constexpr size_t responseBytes = 7'000'000; // more than the buffers of a connection hold
    CallerFixture fixture;
    TestCaller caller(fixture.port, receiveBuffer);
    caller.send(get("/begun", 10, responseBytes));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fixture.onServer([&] { fixture.server->startDraining(); });
    for (const auto* path : { "/behind-1", "/behind-2" }) {
        caller.send(get(path));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    const auto response = caller.receive();
    REQUIRE(response);
    CHECK(response->body.size() == responseBytes + std::string("/begun").size());
    CHECK(response->keepAlive);
    CHECK_FALSE(caller.receive()); // the connection has ended
    CHECK(fixture.onServer([&] { return fixture.handler.started.size(); }) == 1);
    caller.close();
    CHECK(fixture.waitFor([&] { return !fixture.server->connections(); })); // nothing keeps the host from stopping
    CHECK(fixture.metric("callers_closed_undelivered") == 0);
}

// Guards against a response that is cut off although its caller goes on reading it, because it takes a second for it.
TEST_CASE("a caller that reads its last response slowly receives all of it")
{
    constexpr int receiveBuffer = 4'096;
    constexpr size_t responseBytes = 200'000;
    CallerFixture fixture;
    TestCaller caller(fixture.port, receiveBuffer);
    std::string last = get("/last", 10, responseBytes);
    last.insert(last.size() - 2, "Connection: close\r\n");
    caller.send(last);
    size_t received = 0;
    for (int i = 0; i < 25; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        received += caller.readSome(2'000);
        caller.send(get("/behind"));
    }
    CHECK(received > 20 * 1'000);
    received += caller.readRest();
    CHECK(received > responseBytes);
}

// Guards against a reset that discards a response that is still on its way when its connection counts as idle.
TEST_CASE("a connection whose response is still being received is not closed as idle")
{
    constexpr int receiveBuffer = 4'096;
    constexpr size_t responseBytes = 200'000;
    CallerFixture fixture;
    TestCaller caller(fixture.port, receiveBuffer);
    caller.send(get("/last", 10, responseBytes));
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // it has been written
    fixture.onServer([&] { fixture.server->closeIdle(Millis(100)); });
    caller.send(get("/next"));
    REQUIRE(caller.receive());
    CHECK(caller.receive());
    CHECK(fixture.metric("callers_closed_undelivered") == 0);
}

// Guards against callers that use up the host's memory with a request that never ends, in parts that no limit of the
// operators is for.
TEST_CASE("requests without end in short fields or in a chunk's extension are given up at a bound")
{
    constexpr size_t pieceBytes = 8'192;
    constexpr size_t enough = 8'000'000; // more than the bound and the sockets' buffers
    constexpr size_t fields = 30;
    std::string shortFields;
    for (size_t i = 0; i < fields; ++i)
        shortFields += "-Filler: 1\r\nX";
    struct Request {
        std::string begin;
        std::string repeated;
        size_t most = enough;
        Millis pause { 0 };
        int status = 400;
    };
    CallerLimits limits;
    limits.headerTimeout = limits.bodyIdleTimeout = Millis(2'000);
    const std::string chunked = "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Request> requests {
        { chunked + "5;", std::string(pieceBytes, 'x') },
        { chunked, std::string(pieceBytes, ' ') },
        { chunked + "0\r\nX-End: ", std::string(pieceBytes, 'x') },
        { "GET /fields HTTP/1.1\r\nX", shortFields, 4 * limits.headerBytes, Millis(1), 431 },
    };
    for (const Request& request : requests) {
        CAPTURE(request.begin);
        CallerFixture fixture(limits);
        TestCaller caller(fixture.port);
        caller.sendRepeated(request.begin, request.repeated, request.most, request.pause);
        const auto refusal = caller.receive(); // what follows the response is discarded
        REQUIRE(refusal);
        CHECK(refusal->status == request.status);
        CHECK_FALSE(refusal->keepAlive);
        HttpServer control(fixture.context.get_executor(), "127.0.0.1", 0,
            [](const ServedRequest&, boost::beast::tcp_stream&) -> asio::awaitable<std::optional<ServedResponse>> {
                co_return makeResponse(200, "{}");
            });
        constexpr size_t controlFactor = 4; // its bound of a head is larger
        TestCaller operators(control.port());
        const size_t most = request.most * controlFactor;
        CHECK(operators.sendRepeated(request.begin, request.repeated, most, request.pause) < most);
    }
}
