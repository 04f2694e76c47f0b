// Reading of responses from peers that send without end.
#include "web/HttpClient.h"
#include "web/ResponseReader.h"
#include "web/Signal.h"
#include "web/Sockets.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <doctest/doctest.h>
#include <malloc.h>
#include <new>
#include <vector>

using namespace cumindale;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Allocations of at least that many bytes, of which bodies and buffers consist.
constexpr size_t largeBytes = 65'536;
std::atomic<size_t> largeInUse { 0 };
std::atomic<size_t> mostLargeInUse { 0 };

}

void* operator new(size_t bytes)
{
    void* memory = std::malloc(bytes);
    if (!memory)
        throw std::bad_alloc();
    const size_t usable = ::malloc_usable_size(memory);
    if (usable >= largeBytes)
        mostLargeInUse = std::max<size_t>(mostLargeInUse, largeInUse += usable);
    return memory;
}

void operator delete(void* memory) noexcept
{
    const size_t usable = ::malloc_usable_size(memory);
    if (usable >= largeBytes)
        largeInUse -= usable;
    std::free(memory);
}

void operator delete(void* memory, size_t) noexcept { operator delete(memory); }

namespace {

// Sends a response without end on each of some connections, until the other end closes it.
class EndlessPeer {
public:
    // `pause`: between two writes, so that each is read by itself.
    EndlessPeer(asio::io_context& context, std::string begin, std::string repeated, Millis pause = Millis(0),
        size_t connections = 1)
        : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_begin(std::move(begin))
        , m_repeated(std::move(repeated))
        , m_pause(pause)
        , m_connections(connections)
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    size_t sent() const { return m_sent; } // bytes
    bool closed() const { return m_closed == m_connections; } // all connections

private:
    static constexpr auto token = asio::as_tuple(asio::use_awaitable);

    asio::awaitable<void> accept()
    {
        for (size_t i = 0; i < m_connections; ++i) {
            auto [error, socket] = co_await m_acceptor.async_accept(token);
            if (error)
                co_return;
            asio::co_spawn(m_acceptor.get_executor(), send(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> send(tcp::socket socket)
    {
        for (const std::string* next = &m_begin;; next = &m_repeated) {
            const auto [error, bytes] = co_await asio::async_write(socket, asio::buffer(*next), token);
            m_sent += bytes;
            if (error)
                break;
            if (m_pause > Millis(0))
                co_await sleepFor(m_pause);
        }
        ++m_closed;
    }

    tcp::acceptor m_acceptor;
    std::string m_begin;
    std::string m_repeated;
    Millis m_pause;
    size_t m_connections;
    size_t m_sent = 0;
    size_t m_closed = 0;
};

constexpr const char* chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string largeChunk() { return "10000\r\n" + std::string(0x10000, 'x') + "\r\n"; }

// Sends one call, to a peer that must not be taken to have responded.
void checkGivenUp(asio::io_context& context, const EndlessPeer& peer)
{
    HttpClient client(context.get_executor(), "127.0.0.1", peer.port(), 1, shortResponseLimits);
    HttpReply reply;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            HttpCall call;
            reply = co_await client.send(std::move(call), Millis(5'000));
        },
        asio::detached);
    context.run_for(std::chrono::milliseconds(2'000));
    CHECK_FALSE(reply.hasResponse());
    CHECK(reply.mayHaveArrived);
    CHECK(peer.closed());
}

}

// Guards against a body that takes twice its bound while it is copied to larger storage.
TEST_CASE("a body without end never takes more than the memory, its copy while it grows included")
{
    constexpr size_t limit = 6'000'000;
    asio::io_context context;
    const EndlessPeer peer(context, chunkedHead, largeChunk());
    ResponseMemory memory(limit);
    ReadResult result;
    mostLargeInUse = largeInUse.load();
    const size_t before = largeInUse;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            boost::beast::tcp_stream stream(context);
            boost::beast::flat_buffer buffer(readBufferBytes);
            PeerResponse response;
            CHECK(co_await connectTo(stream, "127.0.0.1", peer.port(), Millis(1'000)));
            result = co_await readResponse(stream, buffer, false, {}, &memory, response);
            resetConnection(stream);
        },
        asio::detached);
    context.run();
    CHECK(result.bound == ResponseBound::Memory);
    CHECK(memory.used() == 0);
    CHECK(peer.closed());
    constexpr size_t buffers = 4 * largeBytes + readBufferBytes; // of the peer and the reader
    CHECK(mostLargeInUse - before <= limit + buffers);
}

// Guards against an order or a probe whose response uses up the host's memory.
TEST_CASE("a short response without end is given up at its bound, and its connection is closed")
{
    struct Response {
        std::string begin;
        std::string repeated;
    };
    constexpr size_t pieceBytes = 8'192;
    const std::vector<Response> responses {
        { chunkedHead, largeChunk() },
        { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", largeChunk() },
        { "HTTP/1.1 200 OK\r\nX-Filler: ", std::string(pieceBytes, 'x') },
        { chunkedHead, std::string(pieceBytes, ' ') },
        { {}, "HTTP/1.1 100 Continue\r\n\r\n" },
    };
    for (const Response& response : responses) {
        CAPTURE(response.begin);
        asio::io_context context;
        const EndlessPeer peer(context, response.begin, response.repeated);
        checkGivenUp(context, peer);
        constexpr size_t socketBuffers = 8'000'000; // that the kernel takes from the peer on loopback
        CHECK(peer.sent() < socketBuffers);
    }
}

namespace {

// Fields that end one byte before each piece does: a reader that consumes whole fields never has a large part left.
std::string shortFields()
{
    constexpr size_t fields = 30;
    std::string piece;
    for (size_t i = 0; i < fields; ++i)
        piece += "-Filler: 1\r\nX";
    return piece;
}

}

// Guards against a head that is kept without a bound, since its fields are read one by one and each is short.
TEST_CASE("a head of short fields without end is given up at its bound")
{
    asio::io_context context;
    const EndlessPeer peer(context, "HTTP/1.1 200 OK\r\nX", shortFields(), Millis(1));
    checkGivenUp(context, peer);
    CHECK(peer.sent() < 2 * shortResponseLimits.headerBytes);
}

// Guards against a store of which several responses together use up the host's memory.
TEST_CASE("responses without end to calls that run at once share one bound")
{
    constexpr size_t calls = 4;
    asio::io_context context;
    const EndlessPeer peer(context, chunkedHead, largeChunk(), Millis(0), calls);
    HttpClient client(context.get_executor(), "127.0.0.1", peer.port());
    size_t failed = 0;
    mostLargeInUse = largeInUse.load();
    const size_t before = largeInUse;
    for (size_t i = 0; i < calls; ++i)
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                HttpCall call;
                const HttpReply reply = co_await client.send(std::move(call), Millis(5'000));
                failed += !reply.hasResponse();
            },
            asio::detached);
    context.run_for(std::chrono::milliseconds(2'000));
    CHECK(failed == calls);
    CHECK(peer.closed());
    constexpr size_t mostBytes = 64'000'000;
    constexpr size_t buffers = 2 * largeBytes + calls * readBufferBytes; // of the peer and the reader
    CHECK(mostLargeInUse - before <= mostBytes + buffers);
}

// Guards against a watch of the store whose response uses up the host's memory.
TEST_CASE("a watch whose response never ends a line, a head or a chunk is given up at its bound")
{
    struct Response {
        std::string begin;
        std::string repeated;
        Millis pause { 0 };
    };
    constexpr size_t pieceBytes = 8'192;
    const std::vector<Response> responses {
        { chunkedHead, largeChunk() },
        { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", std::string(pieceBytes, 'x') },
        { chunkedHead, std::string(pieceBytes, ' ') },
        { std::string(chunkedHead) + "5;", std::string(pieceBytes, 'x') },
        { "HTTP/1.1 200 OK\r\nX-Filler: ", std::string(pieceBytes, 'x') },
        { "HTTP/1.1 200 OK\r\nX", shortFields(), Millis(1) },
        { {}, std::string(pieceBytes, '\a') },
    };
    for (const Response& response : responses) {
        CAPTURE(response.begin);
        asio::io_context context;
        const EndlessPeer peer(context, response.begin, response.repeated, response.pause);
        HttpClient client(context.get_executor(), "127.0.0.1", peer.port(), 1, shortResponseLimits);
        bool ended = false;
        size_t lines = 0;
        mostLargeInUse = largeInUse.load();
        const size_t before = largeInUse;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                const auto count = [&](std::string_view) { return ++lines > 0; };
                HttpCall call;
                co_await client.stream(std::move(call), Millis(5'000), Millis(5'000), count);
                ended = true;
            },
            asio::detached);
        context.run_for(std::chrono::milliseconds(1'000));
        CHECK(ended);
        CHECK(lines == 0);
        CHECK(peer.closed());
        constexpr size_t buffers = 4 * largeBytes + 2 * readBufferBytes; // of the peer and the reader
        CHECK(mostLargeInUse - before <= 3 * shortResponseLimits.bodyBytes + buffers);
    }
}

// A watch may last for as long as it likes if its lines end.
TEST_CASE("a watch passes on each line, however much it receives in all")
{
    constexpr size_t lineBytes = 16'384;
    asio::io_context context;
    const EndlessPeer peer(context, chunkedHead, "4001\r\n" + std::string(lineBytes, 'x') + "\n\r\n");
    HttpClient client(context.get_executor(), "127.0.0.1", peer.port(), 1, shortResponseLimits);
    size_t lines = 0;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            constexpr size_t enough = 100;
            const auto count = [&](std::string_view line) { return line.size() == lineBytes && ++lines < enough; };
            HttpCall call;
            co_await client.stream(std::move(call), Millis(5'000), Millis(5'000), count);
        },
        asio::detached);
    context.run_for(std::chrono::milliseconds(1'000));
    CHECK(lines == 100);
}
