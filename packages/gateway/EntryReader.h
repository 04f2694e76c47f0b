// Reads the entries of the store page by page, and after a failure goes on from the last page that arrived: on a link
// that many hosts share, a read that began anew after each failure would never end.
#pragma once

#include "store/Store.h"

namespace cumindale {

class EntryReader {
public:
    enum class Result : uint8_t {
        Complete,
        Paused, // `maxEntries` have been read, and there are more
        Failed, // the next call goes on with the page that failed
    };

    EntryReader(Store&, const Clock&);

    // Reads on until the end or until it has `maxEntries` in all. `timeout`: of each page.
    boost::asio::awaitable<Result> read(size_t maxEntries, Millis timeout);
    // What has been read; status and failure are those of the last page.
    const RangeReply& reply() const { return m_reply; }
    RangeReply take(); // what has been read; the next call begins with the first page
    Instant begunAt() const { return m_begunAt; } // when the first page was asked for

private:
    Store& m_store;
    const Clock& m_clock;
    RangeReply m_reply;
    Instant m_begunAt {};
};

}
