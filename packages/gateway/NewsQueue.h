// The news that wait on a link to one host while a message is in flight.
//
// Urgent news, which are the operators' documents, come first. They would otherwise wait behind the entries of
// thousands of servers, for longer than a document may take to be in force. That is also why a message has a limited
// size: a second connection for documents would have to share a small link with all that is in flight on the first.
//
// Only news that follow on each other are merged into one message: a message says which changes it covers without a
// gap, and a host asks for the rest with its next report.
#pragma once

#include <coordination_types.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>
#include <vector>

namespace cumindale {

size_t bytesOf(const std::vector<wire::StoreItem>&);
size_t bytesOf(const wire::News&); // approximately

// Divides changes of the store, all those after `afterChange` up to `lastChange`, into messages that cover them without
// a gap: urgent items in messages of their own, and the others in messages of limited size.
std::vector<wire::News> divideNews(int64_t afterChange, int64_t lastChange, std::vector<wire::StoreItem>,
    const std::function<bool(std::string_view key)>& isUrgent);

class NewsQueue {
public:
    void add(const wire::News&);
    bool empty() const { return m_urgent.empty() && m_others.empty(); }
    wire::News takeNext(); // the newest of the urgent ones, else the oldest

private:
    struct Message {
        wire::News news;
        size_t bytes = 0;
    };

    std::deque<Message> m_urgent;
    std::deque<Message> m_others;
};

}
