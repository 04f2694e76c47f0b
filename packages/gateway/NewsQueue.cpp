#include "gateway/NewsQueue.h"

#include "decisions/RelayPlan.h"

#include <algorithm>
#include <map>
#include <string>

namespace cumindale {

namespace {

    bool hasItems(const wire::News& news) { return !news.items.empty() || !news.packedItems.empty(); }

    bool follow(const wire::News& news, const wire::News& more)
    {
        if (news.isSnapshot || more.isSnapshot)
            return false;
        if (!hasItems(news) || !hasItems(more))
            return true;
        return more.afterChange <= news.lastChange && news.afterChange <= more.lastChange;
    }

    // Of several changes of one item only the last one counts.
    void dropSuperseded(std::vector<wire::StoreItem>& items)
    {
        std::map<std::string, int64_t> newest;
        for (const auto& item : items) {
            int64_t& revision = newest[item.key];
            revision = std::max(revision, item.revision);
        }
        std::erase_if(items, [&](const wire::StoreItem& item) { return item.revision < newest[item.key]; });
    }

    template <typename T> void append(std::vector<T>& list, const std::vector<T>& more)
    {
        list.insert(list.end(), more.begin(), more.end());
    }

    void merge(wire::News& news, const wire::News& more)
    {
        if (hasItems(more)) {
            news.afterChange = hasItems(news) ? std::min(news.afterChange, more.afterChange) : more.afterChange;
            news.lastChange = std::max(news.lastChange, more.lastChange);
        }
        append(news.items, more.items);
        append(news.packedItems, more.packedItems);
        append(news.tables, more.tables);
        append(news.packedTables, more.packedTables);
        append(news.crowded, more.crowded);
        if (more.crashesEdition > news.crashesEdition) {
            news.crashesEdition = more.crashesEdition;
            news.suspects = more.suspects;
            news.quarantined = more.quarantined;
        }
        news.forwardTo = more.forwardTo;
    }

}

size_t bytesOf(const std::vector<wire::StoreItem>& items)
{
    size_t bytes = 0;
    for (const auto& item : items)
        bytes += item.key.size() + item.value.size();
    return bytes;
}

size_t bytesOf(const wire::News& news)
{
    size_t bytes = bytesOf(news.items);
    for (const auto& items : news.packedItems)
        bytes += items.value.size();
    for (const auto& table : news.tables)
        bytes += table.size();
    for (const auto& table : news.packedTables)
        bytes += table.value.size();
    for (const auto& server : news.crowded)
        bytes += server.size();
    return bytes + (news.suspects.size() + news.quarantined.size()) * sizeof(int64_t);
}

std::vector<wire::News> divideNews(int64_t afterChange, int64_t lastChange, std::vector<wire::StoreItem> items,
    const std::function<bool(std::string_view key)>& isUrgent)
{
    std::stable_sort(items.begin(), items.end(),
        [](const wire::StoreItem& a, const wire::StoreItem& b) { return a.revision < b.revision; });
    std::vector<wire::News> messages;
    size_t bytes = 0;
    int64_t covered = afterChange;
    for (auto& item : items) {
        const bool urgent = isUrgent(item.key);
        const size_t itemBytes = item.key.size() + item.value.size();
        // The changes of one revision stay together, since a message covers whole revisions.
        const bool sameRevision = !messages.empty() && messages.back().items.back().revision == item.revision;
        const bool fits
            = !messages.empty() && messages.back().urgent == urgent && (urgent || bytes + itemBytes <= maxNewsBytes);
        if (!fits && !sameRevision) {
            messages.emplace_back().afterChange = covered;
            bytes = 0;
        }
        wire::News& message = messages.back();
        message.urgent = message.urgent || urgent;
        bytes += itemBytes;
        covered = std::max(covered, item.revision);
        message.lastChange = covered;
        message.items.push_back(std::move(item));
    }
    if (!messages.empty())
        messages.back().lastChange = std::max(covered, lastChange);
    for (auto& message : messages) {
        if (message.urgent)
            dropSuperseded(message.items);
    }
    return messages;
}

void NewsQueue::add(const wire::News& news)
{
    auto& queue = news.urgent ? m_urgent : m_others;
    const size_t bytes = bytesOf(news);
    const bool fits = !queue.empty() && (news.urgent || queue.back().bytes + bytes <= maxNewsBytes);
    if (!fits || !follow(queue.back().news, news)) {
        queue.push_back({ news, bytes });
        return;
    }
    Message& last = queue.back();
    merge(last.news, news);
    if (news.urgent)
        dropSuperseded(last.news.items);
    last.bytes = bytesOf(last.news);
}

wire::News NewsQueue::takeNext()
{
    wire::News next;
    if (m_urgent.empty()) {
        next = m_others.front().news;
        m_others.pop_front();
    } else {
        next = m_urgent.back().news;
        m_urgent.pop_back();
    }
    return next;
}

}
