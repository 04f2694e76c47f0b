#include "gateway/NewsFanout.h"

#include "base/Log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    // Half of a strong host's link of 200 Mbit/s, and of a relay's of 20 Mbit/s, which carries responses to callers.
    constexpr size_t coordinatorsBulkRate = 10'000; // bytes per ms
    constexpr size_t relaysBulkRate = 1'000; // likewise
    constexpr Millis relayRetryDelay { 5'000 }; // after a relay has failed; a restart takes about a second

    wire::News packedCopy(const wire::News& news)
    {
        wire::News packed = news;
        const bool deflated = news.urgent; // documents are, each by itself
        if (!deflated && bytesOf(news.items) > minBytesToPack) {
            packed.packedItems.push_back(packItems(news.items));
            packed.items.clear();
        }
        return packed;
    }

}

// --- Link to one host

NewsLink::NewsLink(asio::any_io_executor executor, std::unique_ptr<CoordinationLink> link,
    std::shared_ptr<BulkPacer> pacer, FailureHandler failure)
    : m_executor(std::move(executor))
    , m_link(std::move(link))
    , m_pacer(std::move(pacer))
    , m_onFailure(std::move(failure))
{
}

void NewsLink::enqueue(const wire::News& news, size_t copies, Timeout timeout)
{
    if (!m_link)
        return;
    m_copies = copies;
    m_timeout = timeout;
    m_unsent.add(news);
    if (m_sending)
        return;
    m_sending = true;
    asio::co_spawn(m_executor, sendAll(shared_from_this()), asio::detached);
}

asio::awaitable<bool> NewsLink::send(const wire::News& news)
{
    const size_t bytes = bytesOf(news);
    const bool isBulk = bytes > maxNewsBytes && !news.urgent; // a document shares the link with what is in flight
    if (isBulk)
        co_await m_pacer->enter(bytes);
    const bool arrived = co_await m_link->adopt(news, m_timeout(bytes, m_copies));
    co_return arrived;
}

asio::awaitable<void> NewsLink::sendAll(std::shared_ptr<NewsLink>)
{
    while (!m_unsent.empty()) {
        const wire::News news = m_unsent.takeNext();
        const bool arrived = co_await send(news);
        if (arrived || !m_onFailure)
            continue;
        m_onFailure(news);
        // Those that wait would each take a timeout more.
        while (!m_unsent.empty())
            m_onFailure(m_unsent.takeNext());
    }
    m_sending = false;
}

// --- Relay

NewsRelay::NewsRelay(asio::any_io_executor executor, Counter& bytesSent)
    : m_executor(std::move(executor))
    , m_bytesSent(bytesSent)
    , m_pacer(std::make_shared<BulkPacer>(m_clock, relaysBulkRate))
{
}

void NewsRelay::forward(const wire::News& news)
{
    wire::News forwarded = news;
    forwarded.forwardTo.clear();
    // Groups change as hosts come and go: drop links to hosts that are no longer members.
    std::erase_if(m_links, [&](const auto& entry) {
        return std::find(news.forwardTo.begin(), news.forwardTo.end(), entry.first) == news.forwardTo.end();
    });
    for (const auto& address : news.forwardTo) {
        auto& link = m_links[address];
        if (!link)
            link = std::make_shared<NewsLink>(m_executor, makeCoordinationLink(m_executor, address, m_bytesSent),
                m_pacer, NewsLink::FailureHandler {});
        link->enqueue(forwarded, news.forwardTo.size());
    }
}

// --- Coordinator

NewsFanout::NewsFanout(asio::any_io_executor executor, const Clock& clock, Counter& bytesSent)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_bytesSent(bytesSent)
    , m_pacer(std::make_shared<BulkPacer>(clock, coordinatorsBulkRate))
{
}

void NewsFanout::updateHost(const std::string& host, const std::string& address, const std::string& dataCentre,
    double strength, bool readsPacked)
{
    Host& known = m_hosts[host];
    if (known.address == address && known.dataCentre == dataCentre && known.strength == strength
        && known.readsPacked == readsPacked)
        return;
    known = { address, dataCentre, strength, readsPacked, {}, nullptr };
    m_groupsOutdated = true;
}

void NewsFanout::removeHost(std::string_view host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    m_hosts.erase(found);
    m_groupsOutdated = true;
}

void NewsFanout::clear()
{
    m_hosts.clear();
    m_groups.clear();
    m_groupsOutdated = false;
}

void NewsFanout::regroup()
{
    m_groupsOutdated = false;
    const Instant now = m_clock.now();
    std::vector<RelayCandidate> candidates;
    for (const auto& [name, host] : m_hosts)
        candidates.push_back({ name, host.dataCentre, host.strength, host.mayRelayFrom <= now });
    m_groups.clear();
    for (auto& planned : planRelays(candidates)) {
        Group group { planned.relay, std::move(planned.members), m_hosts.at(planned.relay).readsPacked, nullptr };
        for (const auto& member : group.members)
            group.readsPacked = group.readsPacked && m_hosts.at(member).readsPacked;
        if (!group.members.empty()) {
            group.link = std::make_shared<NewsLink>(m_executor,
                makeCoordinationLink(m_executor, m_hosts.at(group.relay).address, m_bytesSent), m_pacer,
                [this, relay = group.relay, members = group.members](
                    const wire::News& news) { onRelayFailed(relay, members, news); });
        }
        m_groups.push_back(std::move(group));
    }
}

void NewsFanout::publish(const wire::News& news)
{
    if (m_groupsOutdated)
        regroup();
    const wire::News packed = packedCopy(news);
    for (auto& group : m_groups) {
        if (!group.link) {
            sendDirectly(group.relay, news, packed);
            continue;
        }
        wire::News forwarded = group.readsPacked ? packed : news;
        for (const auto& member : group.members)
            forwarded.forwardTo.push_back(m_hosts.at(member).address);
        group.link->enqueue(forwarded, m_groups.size(), fanoutTimeout);
    }
}

void NewsFanout::sendDirectly(const std::string& host, const wire::News& news, const wire::News& packed)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    auto& link = found->second.link;
    if (!link)
        link = std::make_shared<NewsLink>(m_executor,
            makeCoordinationLink(m_executor, found->second.address, m_bytesSent), m_pacer, NewsLink::FailureHandler {});
    link->enqueue(found->second.readsPacked ? packed : news, m_groups.size(), fanoutTimeout);
}

void NewsFanout::onRelayFailed(
    const std::string& relay, const std::vector<std::string>& members, const wire::News& news)
{
    logChange(LogLevel::Warning, "relay-unresponsive", { { "relay", relay }, { "members", members.size() } });
    const auto found = m_hosts.find(relay);
    if (found != m_hosts.end()) {
        found->second.mayRelayFrom = m_clock.now() + relayRetryDelay;
        m_groupsOutdated = true;
    }
    wire::News direct = news;
    direct.forwardTo.clear();
    // What was packed went to a group in which each host reads it.
    for (const auto& member : members)
        sendDirectly(member, direct, direct);
}

}
