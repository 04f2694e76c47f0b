#include "gateway/ReachQueries.h"

#include "routing/RequestHeaders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace cumindale {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    constexpr size_t hostsAsked = 3; // some of which may lack the path as well
    constexpr std::string_view yes = "yes";
    constexpr std::string_view no = "no";

}

std::string_view queriedServer(const CallerHeader& header) { return header[reachQueryHeader]; }

CallerResponse reachResponse(Reached reached)
{
    CallerResponse response { http::status::ok, 11 };
    if (reached != Reached::Unknown)
        response.set(reachQueryHeader, reached == Reached::Yes ? yes : no);
    response.prepare_payload();
    return response;
}

// The answers to one question.
struct ReachQueries::Poll {
    Poll(const asio::any_io_executor& executor, std::string queried)
        : server(std::move(queried))
        , changed(executor)
    {
    }

    std::string server;
    size_t waiting = 0; // for so many hosts
    Reached reached = Reached::Unknown;
    Signal changed;
};

ReachQueries::ReachQueries(asio::any_io_executor executor, const Clock& clock, PeerForwarder& forwarder, Millis timeout,
    ReachedHandler onReached)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_forwarder(forwarder)
    , m_timeout(timeout)
    , m_onReached(std::move(onReached))
{
}

void ReachQueries::start() { spawnLoop(m_executor, "reach-queries", run()); }

// Hosts that lacked the path when they were last asked come last.
asio::awaitable<Reached> ReachQueries::ask(std::string server)
{
    const auto poll = std::make_shared<Poll>(m_executor, std::move(server));
    std::vector<std::string> excluded = m_paths.hostsWithout(poll->server);
    std::vector<std::string> asked;
    while (asked.size() < hostsAsked) {
        auto target = m_forwarder.choose(excluded);
        if (!target)
            target = m_forwarder.choose(asked);
        if (!target)
            break;
        asked.push_back(target->host);
        excluded.push_back(target->host);
        ++poll->waiting;
        asio::co_spawn(m_executor, askOne(*target, poll), asio::detached);
    }
    // One connection to the other host, and one from there to the server.
    const Instant until = m_clock.now() + 3 * m_timeout;
    for (Instant now = m_clock.now(); poll->waiting && poll->reached != Reached::Yes && now < until;
         now = m_clock.now())
        co_await poll->changed.wait(until - now);
    co_return poll->reached;
}

asio::awaitable<void> ReachQueries::askOne(ForwardTarget target, std::shared_ptr<Poll> poll)
{
    const Reached reached = co_await query(std::move(target), poll->server);
    if (poll->reached != Reached::Yes && reached != Reached::Unknown)
        poll->reached = reached;
    --poll->waiting;
    poll->changed.notifyAll();
}

asio::awaitable<Reached> ReachQueries::query(ForwardTarget target, std::string server)
{
    const TargetPath path { std::move(server), target.host };
    BackendRequest request { http::verb::get, "/", 11 };
    request.set(http::field::host, target.host);
    request.set(reachQueryHeader, path.server);
    request.keep_alive(true);
    request.prepare_payload();
    const auto result = co_await m_forwarder.query(std::move(target), request, 2 * m_timeout);
    const bool answered = result && result->error == ErrorKind::None;
    const std::string_view reached = answered ? std::string_view(result->response[reachQueryHeader]) : "";
    if (reached == yes) {
        m_paths.reaches(path);
        m_onReached(path.server);
        co_return Reached::Yes;
    }
    if (reached == no) {
        m_paths.lacks(path, m_clock.now());
        co_return Reached::No;
    }
    m_paths.forget(path);
    co_return Reached::Unknown;
}

asio::awaitable<void> ReachQueries::run()
{
    constexpr Millis interval { 100 }; // between two questions at least, whatever is due
    for (;;) {
        co_await sleepFor(interval);
        const auto path = m_paths.nextToAsk(m_clock.now());
        if (!path)
            continue;
        auto target = m_forwarder.targetNamed(path->host);
        if (target)
            co_await query(std::move(*target), path->server);
        else
            m_paths.forget(*path);
    }
}

}
