// Invalid requests from callers: each gets a specific error, the process keeps serving, and memory stays bounded.
#include "routing_fixture.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

using namespace cumindale;
using namespace cumindale::fixture;

namespace {

CallerLimits reducedLimits()
{
    CallerLimits limits;
    limits.headerBytes = 2'000;
    limits.bodyMemory = 1'500'000;
    limits.headerTimeout = Millis(300);
    limits.bodyIdleTimeout = Millis(300);
    limits.idleTimeout = Millis(300);
    return limits;
}

// Expects the given error and `Cumindale-Ran: no`, and that the next valid request is still served.
void expectRefused(RoutingFixture& fixture, const std::string& bytes, int status, const std::string& error)
{
    CAPTURE(error);
    const size_t runs = fixture.runs();
    const Answer answer = fixture.send(bytes);
    CHECK(answer.status == status);
    CHECK(answer.header("Cumindale-Error") == error);
    CHECK(answer.header("Cumindale-Ran") == "no");
    CHECK(fixture.runs() == runs);
    CHECK(fixture.get().status == 200);
}

}

TEST_CASE("each invalid request gets a specific error, and the next request is served")
{
    RoutingFixture fixture(reducedLimits(), 1'000'000);
    expectRefused(fixture, "GET /tracing/x HTTP/1.1\r\nHost: h\r\n\r\n", 400, "missing-key");
    expectRefused(fixture, "GET /tracing/x HTTP/1.1\r\nHost: h\r\nCase-Key: " + std::string(65, 'k') + "\r\n\r\n", 400,
        "key-too-long");
    expectRefused(fixture, "GET /other/x HTTP/1.1\r\nHost: h\r\nCase-Key: k\r\n\r\n", 404, "unknown-service");
    expectRefused(fixture, RoutingFixture::request("GET", "x", "X: " + std::string(3'000, 'x') + "\r\n"), 431,
        "headers-too-large");
    expectRefused(fixture, RoutingFixture::request("POST", "x", "Content-Length: 2000000\r\n"), 413, "body-too-large");
    expectRefused(fixture, "nonsense\r\n\r\n", 400, "bad-request");
}

TEST_CASE("ambiguous requests that two parsers could read differently are refused")
{
    RoutingFixture fixture(reducedLimits());
    const std::string twoLengths = "Content-Length: 5\r\nContent-Length: 6\r\n";
    expectRefused(fixture, RoutingFixture::request("POST", "x", twoLengths) + "hello", 400, "bad-request");
    const std::string lengthAndChunked = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
    expectRefused(fixture, RoutingFixture::request("POST", "x", lengthAndChunked) + "0\r\n\r\n", 400, "bad-request");
    const std::string chunkedAndLength = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n";
    expectRefused(fixture, RoutingFixture::request("POST", "x", chunkedAndLength) + "0\r\n\r\n", 400, "bad-request");
    const std::string twoEncodings = "Transfer-Encoding: gzip, chunked\r\n";
    expectRefused(fixture, RoutingFixture::request("POST", "x", twoEncodings) + "0\r\n\r\n", 400, "bad-request");
}

TEST_CASE("slow headers and bodies end with a request timeout, and idle connections are closed")
{
    RoutingFixture fixture(reducedLimits());
    expectRefused(fixture, "GET /tracing/x HTT", 408, "request-timeout");
    expectRefused(
        fixture, RoutingFixture::request("POST", "x", "Content-Length: 10\r\n") + "12345", 408, "request-timeout");
    CHECK(fixture.send("").status == 0); // closed without an answer: no request was sent
}

TEST_CASE("an upload that exceeds the memory budget is refused at its headers, with Retry-After")
{
    // Guards against an upload that is cut off after minutes because too many uploads were accepted and memory ran out
    // while they were being received. Memory for the body is reserved when the headers arrive.
    RoutingFixture fixture(reducedLimits(), 1'000'000);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket first(context);
    first.connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.port() });
    boost::asio::write(first, boost::asio::buffer(RoutingFixture::request("POST", "x", "Content-Length: 1000000\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const Answer second = fixture.send(RoutingFixture::request("POST", "x", "Content-Length: 1000000\r\n"));
    CHECK(second.status == 503);
    CHECK(second.header("Cumindale-Error") == "memory-budget");
    CHECK_FALSE(second.header("Retry-After").empty());
    first.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(fixture.post(std::string(900'000, 'u')).status == 200); // the reserved memory was freed
}

// Guards against 413 for bodies that are allowed: the limit of the HTTP library applied before that of the service.
TEST_CASE("a body of several megabytes is served if the service allows it")
{
    RoutingFixture fixture({}, 8'000'000);
    CHECK(fixture.post(std::string(3'000'000, 'u')).status == 200);
    expectRefused(fixture, RoutingFixture::request("POST", "x", "Content-Length: 8000001\r\n"), 413, "body-too-large");
}

TEST_CASE("responses to HEAD have no body, including error responses of the router")
{
    // Guards against a caller that receives the answer to an earlier request: a client reads the body of an error
    // response to HEAD as the beginning of the next response on the connection.
    RoutingFixture fixture;
    for (const char* path : { "/other/x", "/tracing/x" }) {
        const Answer answer = fixture.send(std::string("HEAD ") + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(answer.status >= 400);
        CHECK(answer.header("Content-Length") == "0");
        CHECK(answer.body.empty());
    }
}

// Guards against a submission that the host answers as done without running it: its path is that of the health check.
TEST_CASE("the health check hides no other request")
{
    RoutingFixture fixture;
    CHECK(fixture.send("GET /health HTTP/1.1\r\nHost: h\r\n\r\n").body == "ok\n");
    for (const char* method : { "POST", "PUT", "DELETE", "OPTIONS", "TRACE" })
        expectRefused(fixture, std::string(method) + " /health HTTP/1.1\r\nHost: h\r\nCase-Key: k\r\n\r\n", 404,
            "unknown-service");
    for (const char* path : { "/health/", "/health?x", "/cumindale/health", "*", "http://h/health" })
        expectRefused(fixture, std::string("GET ") + path + " HTTP/1.1\r\nHost: h\r\nCase-Key: k\r\n\r\n", 404,
            "unknown-service");
}

TEST_CASE("internal headers sent by a caller are ignored")
{
    RoutingFixture fixture;
    const Answer answer = fixture.get("Cumindale-Fence: 999\r\nCumindale-Ran: no\r\nCumindale-Deadline: 1\r\n");
    CHECK(answer.status == 200);
    CHECK(answer.header("Cumindale-Ran") == "yes");
    CHECK(fixture.receivedHeader("Cumindale-Fence") == "1");
    CHECK(fixture.receivedHeader("Cumindale-Deadline") != "1");
    CHECK(fixture.receivedHeader("Cumindale-Ran").empty());
}
