#include "gateway/EntryReader.h"

#include <iterator>
#include <utility>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    // Watches go on from the revision of the first page. The store keeps its history for twice as long, or less.
    constexpr Millis maxReadTime { 10'000 };

}

EntryReader::EntryReader(Store& store, const Clock& clock)
    : m_store(store)
    , m_clock(clock)
{
}

RangeReply EntryReader::take() { return std::exchange(m_reply, {}); }

asio::awaitable<EntryReader::Result> EntryReader::read(size_t maxEntries, Millis timeout)
{
    if (m_reply.pages && m_clock.now() - m_begunAt > maxReadTime)
        m_reply = {};
    for (;;) {
        if (!m_reply.pages)
            m_begunAt = m_clock.now();
        std::string after = m_reply.values.empty() ? std::string() : m_reply.values.back().key;
        RangeReply page = co_await m_store.rangePage({}, std::move(after), timeout);
        m_reply.status = page.status;
        m_reply.failure = std::move(page.failure);
        if (page.status != StoreStatus::Ok)
            co_return Result::Failed;
        // Pages aren't read from one snapshot: a watch must start at the revision of the first page to miss no event.
        if (!m_reply.pages++)
            m_reply.revision = page.revision;
        m_reply.values.insert(m_reply.values.end(), std::make_move_iterator(page.values.begin()),
            std::make_move_iterator(page.values.end()));
        if (!page.more)
            co_return Result::Complete;
        if (m_reply.values.size() >= maxEntries)
            co_return Result::Paused;
    }
}

}
