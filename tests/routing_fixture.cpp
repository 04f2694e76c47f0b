#include "routing_fixture.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace cumindale::fixture {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr Millis lateAnswerDelay { 600 };
    constexpr Millis delayedAnswerDelay { 200 };

    std::shared_ptr<Resources> resourcesFor(uint16_t port, uint64_t largestBody)
    {
        auto resources = std::make_shared<Resources>();
        resources->revision = 1;
        ServiceResource service;
        service.name = "tracing";
        service.pathPrefix = "/tracing/";
        service.keyHeader = "Case-Key";
        service.longestWork = Millis(300);
        service.largestBody = largestBody;
        resources->services["tracing"] = service;
        ServerResource server;
        server.name = "server-1";
        server.service = "tracing";
        server.address = "127.0.0.1";
        server.port = port;
        resources->servers["server-1"] = server;
        return resources;
    }

}

std::string Answer::header(std::string_view name) const
{
    const auto at = head.find("\r\n" + std::string(name) + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + 4 + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

RoutingFixture::RoutingFixture(CallerLimits limits, uint64_t largestBody)
    : RoutingFixture(std::make_shared<SystemClock>(), limits, largestBody)
{
}

RoutingFixture::RoutingFixture(std::shared_ptr<const Clock> clock)
    : RoutingFixture(std::move(clock), {}, 1'000'000)
{
}

RoutingFixture::RoutingFixture(std::shared_ptr<const Clock> clock, CallerLimits limits, uint64_t largestBody)
    : m_clock(std::move(clock))
    , m_work(m_context.get_executor())
{
    const auto handler
        = [this](const ServedRequest& request, boost::beast::tcp_stream& stream) { return serve(request, stream); };
    m_fakeServer = std::make_unique<HttpServer>(m_context.get_executor(), "127.0.0.1", uint16_t(0), handler);
    m_router = std::make_unique<Router>(
        m_context.get_executor(), *m_clock, RouterOptions { "host", 64 }, m_metrics, m_spans, [](RoutingReport) {});
    m_callers = std::make_unique<CallerServer>(
        m_context.get_executor(), *m_clock, "127.0.0.1", uint16_t(0), limits, *m_router, m_metrics, "/health");
    m_port = m_callers->port();
    RoutingUpdate update;
    update.resources = resourcesFor(m_fakeServer->port(), largestBody);
    m_router->apply(update);
    m_thread = std::thread([this] { m_context.run(); });
    setTable(1, SliceState::Serving);
}

RoutingFixture::~RoutingFixture()
{
    m_context.stop();
    m_thread.join();
}

void RoutingFixture::runOnRouterThread(std::function<void()> task)
{
    std::promise<void> done;
    asio::post(m_context, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void RoutingFixture::setTable(uint64_t version, SliceState state, Millis leaseDuration)
{
    auto table = std::make_shared<SliceTable>();
    table->service = "tracing";
    table->version = version;
    table->nextFence = version + 1;
    table->workLimit = Millis(300);
    table->inFlightWorkLimit = Millis(300);
    table->servers = { "server-1" };
    Slice slice;
    slice.fence = version;
    slice.state = state;
    slice.owner = state == SliceState::Unowned ? noServer : 0;
    slice.stoppedInVersion = state == SliceState::Stopping ? version : 0;
    table->slices.push_back(slice);
    runOnRouterThread([&] {
        RoutingUpdate update;
        update.table = table;
        update.leases.push_back({ "tracing", version, m_clock->now() + leaseDuration });
        m_router->apply(update);
    });
}

void RoutingFixture::stopServer()
{
    runOnRouterThread([&] { m_fakeServer->stop(); });
}

void RoutingFixture::setBehaviors(std::deque<ServerBehavior> behaviors)
{
    std::lock_guard lock(m_mutex);
    m_behaviors = std::move(behaviors);
}

std::string RoutingFixture::receivedHeader(const std::string& name)
{
    std::lock_guard lock(m_mutex);
    return m_received[name];
}

asio::awaitable<std::optional<ServedResponse>> RoutingFixture::serve(
    const ServedRequest& request, boost::beast::tcp_stream& stream)
{
    if (request.target() == "/health")
        co_return makeResponse(200, "{}");
    ServerBehavior behavior = ServerBehavior::Answer;
    {
        std::lock_guard lock(m_mutex);
        m_received.clear();
        for (const auto& field : request)
            m_received[std::string(field.name_string())] = std::string(field.value());
        if (!m_behaviors.empty()) {
            behavior = m_behaviors.front();
            m_behaviors.pop_front();
        }
        if (m_serverPeerPorts.insert(stream.socket().remote_endpoint().port()).second)
            ++m_connections;
    }
    if (behavior == ServerBehavior::Refuse) {
        auto refusal = makeResponse(503, "{}");
        refusal.set("Cumindale-Ran", "no");
        co_return refusal;
    }
    ++m_runs;
    if (behavior == ServerBehavior::AnswerAfterDeadline)
        co_await sleepFor(lateAnswerDelay);
    if (behavior == ServerBehavior::DelayedAnswer)
        co_await sleepFor(delayedAnswerDelay);
    char byte = 0;
    // Either a closed or a reset connection tells the server that the request was cancelled.
    const auto got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got == 0 || (got < 0 && errno == ECONNRESET))
        ++m_cancelled;
    if (behavior == ServerBehavior::CloseBeforeAnswer)
        co_return std::nullopt;
    auto response = makeResponse(200, "for " + std::string(request["X-Nonce"]));
    response.set("Cumindale-Request-Id",
        behavior == ServerBehavior::WrongRequestId ? "another" : request["Cumindale-Request-Id"]);
    if (behavior == ServerBehavior::Answer || behavior == ServerBehavior::AnswerAfterDeadline
        || behavior == ServerBehavior::DelayedAnswer || behavior == ServerBehavior::WrongRequestId)
        co_return response;
    std::ostringstream raw;
    if (behavior == ServerBehavior::ShorterThanDeclared)
        response.set("Content-Length", "1000");
    raw << response;
    std::string bytes = raw.str();
    if (behavior == ServerBehavior::CloseInAnswer)
        bytes.resize(bytes.size() - 3);
    if (behavior == ServerBehavior::ExtraBytes)
        bytes += "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    co_await asio::async_write(stream, asio::buffer(bytes), token);
    co_return std::nullopt;
}

std::string RoutingFixture::request(const std::string& method, const std::string& path, const std::string& more)
{
    return method + " /tracing/" + path + " HTTP/1.1\r\nHost: h\r\nCase-Key: k\r\nX-Nonce: n\r\n" + more + "\r\n";
}

Answer RoutingFixture::post(const std::string& body) const
{
    return send(request("POST", "claim", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
}

void RoutingFixture::sendAndDisconnect(const std::string& bytes) const
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
    asio::write(socket, asio::buffer(bytes));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
}

Answer RoutingFixture::send(const std::string& bytes) const
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    Answer answer;
    std::string buffer;
    const size_t head = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
    if (!head)
        return answer;
    answer.head = buffer.substr(0, head);
    answer.status = std::stoi(answer.head.substr(9, 3));
    answer.body = buffer.substr(head);
    const std::string length = answer.header("Content-Length");
    const size_t wanted = length.empty() ? 0 : std::stoul(length);
    if (answer.body.size() < wanted)
        asio::read(
            socket, asio::dynamic_buffer(answer.body), asio::transfer_exactly(wanted - answer.body.size()), error);
    return answer;
}

}
