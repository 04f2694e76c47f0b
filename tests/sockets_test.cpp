// Unsent bytes must be discarded when a call is abandoned.
#include "web/HttpClient.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace cumindale;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Reads until the peer closes the connection, and returns how the peer closed it.
boost::system::error_code readUntilClosed(tcp::socket& socket)
{
    std::array<char, 4096> bytes;
    boost::system::error_code error;
    while (!error)
        socket.read_some(asio::buffer(bytes), error);
    return error;
}

}

// Guards against two servers that work on one key. A grant is sent to a server behind a network partition and times
// out; after the grant's hold time the key moves. When the partition heals, the kernel would still deliver the old
// grant, and the server would accept it as new: the stream's own timeout closes the socket normally, after which the
// kernel keeps trying to deliver the bytes already written. A reset discards these bytes.
TEST_CASE("an abandoned call resets its connection, so that the call can't arrive later")
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
    CHECK(!result.hasResponse());
    CHECK(result.mayHaveArrived);
}
