// The platform's key-value store: compare-and-swap, leases, watches.
//
// The interface is abstract so that tests can substitute a fake. Every call has a timeout; `Unavailable` means that no
// usable response was received and that a write may or may not have taken effect.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct KeyValue {
    std::string key;
    std::string value;
    int64_t modRevision = 0; // revision of the last write of this key; 0: the key does not exist
    int64_t createRevision = 0;
    int64_t lease = 0;
    // Time since the write when this host received it, as far as it can tell; 0: it came at once. After a silence of
    // the store this is the whole silence.
    Millis age { 0 };
};

enum class StoreStatus : uint8_t { Ok, Unavailable };

struct RangeReply {
    StoreStatus status = StoreStatus::Unavailable;
    int64_t revision = 0; // store revision at the time of the first response
    std::vector<KeyValue> values;
    size_t pages = 0; // responses with items, also of a read that failed later
    bool more = false; // of a page: others follow
    std::string failure; // why a read failed: "no-connection", "no-response", "status-429", ...
};

// Condition of a transaction: the key was last written at `modRevision` (0: the key does not exist).
struct Compare {
    std::string key;
    int64_t modRevision = 0;
};

struct WriteOperation {
    std::string key;
    std::string value;
    bool erase = false;
    int64_t lease = 0; // 0: no lease; the key stays until it is deleted
};

struct TxnReply {
    StoreStatus status = StoreStatus::Unavailable;
    int64_t revision = 0;
    bool succeeded = false; // all conditions held and all writes were applied
};

struct LeaseReply {
    StoreStatus status = StoreStatus::Unavailable;
    int64_t id = 0;
    Millis ttl { 0 }; // 0 after a keep-alive: the lease has expired
};

struct WatchEvent {
    bool erased = false;
    KeyValue value;
};

inline int64_t newestRevisionOf(const std::vector<WatchEvent>& events) // 0: there are none
{
    int64_t newest = 0;
    for (const auto& event : events)
        newest = std::max(newest, event.value.modRevision);
    return newest;
}

// Reason why a watch ended.
enum class WatchEnd : uint8_t {
    Unavailable, // the watch can resume from its last revision
    HistoryGone, // the requested revisions are no longer available: the whole range must be read again
    Stopped, // the handler returned false
};

class Store {
public:
    virtual ~Store() = default;

    virtual boost::asio::awaitable<RangeReply> range(std::string key, bool prefix, Millis timeout) = 0;
    // The items with the prefix that follow the key `after`, as many as the store sends at once. A store without pages
    // sends all items with the first one.
    virtual boost::asio::awaitable<RangeReply> rangePage(std::string prefix, std::string, Millis timeout)
    {
        return range(std::move(prefix), true, timeout);
    }
    virtual boost::asio::awaitable<TxnReply> txn(
        std::vector<Compare> conditions, std::vector<WriteOperation> writes, Millis timeout)
        = 0;
    virtual boost::asio::awaitable<LeaseReply> grantLease(Millis ttl, Millis timeout) = 0;
    virtual boost::asio::awaitable<LeaseReply> keepLeaseAlive(int64_t id, Millis timeout) = 0;
    virtual boost::asio::awaitable<StoreStatus> revokeLease(int64_t id, Millis timeout) = 0;

    // Calls `handler` with each batch of events, starting at `fromRevision`. Returns when the stream ends, when nothing
    // is received for `idleTimeout`, or when `handler` returns false. An implementation that can't tell these reasons
    // apart returns `HistoryGone`.
    using WatchHandler = std::function<bool(int64_t revision, const std::vector<WatchEvent>&)>;
    virtual boost::asio::awaitable<WatchEnd> watch(
        std::string prefix, int64_t fromRevision, Millis idleTimeout, WatchHandler handler)
        = 0;
};

}
