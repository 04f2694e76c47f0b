// Fault-injecting TCP proxy between two processes on loopback. Used in tests only, not shipped.
//
//     POST /faults {"delayMs": n, "holdTo": bool, "holdFrom": bool, "silenceOpen": bool, "reset": bool}
//
// holdTo, holdFrom: bytes towards the target, or back from it, are held until the fault ends, as in a network
// partition. silenceOpen: connections that are open now never carry a byte again, new ones do. reset: closes all open
// connections at once. A fault left out of the request ends, so {} ends all faults; connections already silenced stay
// silent.
#include "base/Time.h"
#include "web/HttpServer.h"
#include "web/Signal.h"
#include "web/Sockets.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <list>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on, and of the target");
ABSL_FLAG(uint16_t, port, 9000, "port to listen on");
ABSL_FLAG(uint16_t, target, 8000, "port to forward connections to");
ABSL_FLAG(uint16_t, control_port, 9001, "port for faults");

namespace {

using namespace cumindale;
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

constexpr auto token = asio::as_tuple(asio::use_awaitable);
constexpr Millis heldPollInterval { 20 }; // polling interval while bytes are held

struct Link {
    tcp::socket near;
    tcp::socket far;
    bool silent = false;

    void reset()
    {
        boost::system::error_code ignored; // the connection may be closed already
        near.set_option(asio::socket_base::linger(true, 0), ignored);
        far.set_option(asio::socket_base::linger(true, 0), ignored);
        near.close(ignored);
        far.close(ignored);
    }
};

class Proxy {
public:
    explicit Proxy(asio::io_context& context)
        : m_context(context)
        , m_acceptor(
              context, tcp::endpoint(asio::ip::make_address(absl::GetFlag(FLAGS_address)), absl::GetFlag(FLAGS_port)))
        , m_control(context.get_executor(), absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_control_port),
              [this](const ServedRequest& request, boost::beast::tcp_stream&) { return setFaults(request); })
    {
        spawnLoop(context.get_executor(), "accept", accept());
    }

private:
    asio::awaitable<std::optional<ServedResponse>> setFaults(const ServedRequest& request)
    {
        const json::object faults = json::parse(request.body()).as_object();
        const auto is = [&](std::string_view name) { return faults.contains(name) && faults.at(name).as_bool(); };
        m_delay = Millis(faults.contains("delayMs") ? faults.at("delayMs").to_number<int64_t>() : 0);
        m_holdTo = is("holdTo");
        m_holdFrom = is("holdFrom");
        for (const auto& link : m_links) {
            link->silent |= is("silenceOpen");
            if (is("reset"))
                link->reset();
        }
        co_return makeResponse(200, "{}");
    }

    asio::awaitable<void> accept()
    {
        for (;;) {
            auto socket = co_await acceptFrom(m_acceptor);
            if (!socket)
                co_return;
            asio::co_spawn(m_context, serve(std::move(*socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket near)
    {
        const auto link = std::make_shared<Link>(Link { std::move(near), tcp::socket(m_context) });
        const tcp::endpoint target(asio::ip::make_address(absl::GetFlag(FLAGS_address)), absl::GetFlag(FLAGS_target));
        const auto [error] = co_await link->far.async_connect(target, token);
        if (error) {
            link->reset();
            co_return;
        }
        m_links.push_back(link);
        asio::co_spawn(m_context, pass(link, link->far, link->near, m_holdFrom), asio::detached);
        co_await pass(link, link->near, link->far, m_holdTo);
        m_links.remove(link);
    }

    asio::awaitable<void> pass(std::shared_ptr<Link> link, tcp::socket& from, tcp::socket& to, const bool& held)
    {
        std::array<char, 16'384> bytes {};
        for (;;) {
            const auto [readError, got] = co_await from.async_read_some(asio::buffer(bytes), token);
            if (m_delay.count())
                co_await sleepFor(m_delay);
            while ((held || link->silent) && from.is_open())
                co_await sleepFor(heldPollInterval);
            if (readError)
                break;
            const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(bytes.data(), got), token);
            if (writeError)
                break;
        }
        boost::system::error_code ignored; // the peer may have closed first
        to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    std::list<std::shared_ptr<Link>> m_links;
    Millis m_delay { 0 };
    bool m_holdTo = false;
    bool m_holdFrom = false;
    HttpServer m_control;
};

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context { 1 };
    const Proxy proxy(context);
    context.run();
    return 0;
}
