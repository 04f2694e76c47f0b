// What happens to bytes on the wire when a connection is given up.
#include "web/HttpClient.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace cumindale;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Reads until the other side ends the connection, and says how it did.
boost::system::error_code readUntilClosed(tcp::socket& socket)
{
    std::array<char, 4096> bytes;
    boost::system::error_code error;
    while (!error)
        socket.read_some(asio::buffer(bytes), error);
    return error;
}

}

// A user sees two servers at work on one key. A grant is sent to a server that has just been cut off; it is given up
// after its timeout, its hold is waited for, the key moves. The cut heals, the kernel delivers the old grant after
// all, and the server takes it for a new one. Cause: the stream's own timeout closes the socket in the usual way, so
// the kernel goes on trying to deliver what was written.
TEST_CASE("a call that is given up resets its connection, so that it can't arrive later")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    HttpClient client(context.get_executor(), "127.0.0.1", acceptor.local_endpoint().port());
    auto reply = asio::co_spawn(
        context, client.send({ boost::beast::http::verb::post, "/order", "{}", {} }, Millis(100)), asio::use_future);
    std::thread clientThread([&] { context.run(); });

    tcp::socket server = acceptor.accept();
    const auto closeReason = readUntilClosed(server);
    clientThread.join();
    CHECK(closeReason == asio::error::connection_reset);
    const HttpReply result = reply.get();
    CHECK(!result.arrived());
    CHECK(result.mayHaveArrived);
}
