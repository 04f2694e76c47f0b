// The platform's key-value store: compare-and-swap, leases, watches.
//
// Abstract, so that tests put a fake in its place. All waits are bounded; "Unavailable" means that no answer
// came and that a write may or may not have taken effect.
#pragma once

#include "base/Time.h"

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
    int64_t modRevision = 0; // of the last write of this key; 0: absent
    int64_t createRevision = 0;
    int64_t lease = 0;
};

enum class StoreStatus : uint8_t { Ok, Unavailable };

struct RangeReply {
    StoreStatus status = StoreStatus::Unavailable;
    int64_t revision = 0; // of the whole store, when it answered
    std::vector<KeyValue> values;
};

// One condition of a transaction: the key was last written in `modRevision` (0: it does not exist).
struct Compare {
    std::string key;
    int64_t modRevision = 0;
};

struct WriteOperation {
    std::string key;
    std::string value;
    bool erase = false;
    int64_t lease = 0; // 0: stays until it is deleted
};

struct TxnReply {
    StoreStatus status = StoreStatus::Unavailable;
    int64_t revision = 0;
    bool succeeded = false; // all conditions held, all writes took effect
};

struct LeaseReply {
    StoreStatus status = StoreStatus::Unavailable;
    int64_t id = 0;
    Millis ttl { 0 }; // 0 after a keep-alive: the lease has lapsed
};

struct WatchEvent {
    bool erased = false;
    KeyValue value;
};

// Why a watch has ended.
enum class WatchEnd : uint8_t {
    NoAnswer, // it can go on from where it was
    HistoryGone, // what it asked for is no longer told: everything must be read
    Stopped, // by its handler
};

class Store {
public:
    virtual ~Store() = default;

    virtual boost::asio::awaitable<RangeReply> range(std::string key, bool prefix, Millis timeout) = 0;
    virtual boost::asio::awaitable<TxnReply> txn(
        std::vector<Compare> conditions, std::vector<WriteOperation> writes, Millis timeout)
        = 0;
    virtual boost::asio::awaitable<LeaseReply> grantLease(Millis ttl, Millis timeout) = 0;
    virtual boost::asio::awaitable<LeaseReply> keepLease(int64_t id, Millis timeout) = 0;
    virtual boost::asio::awaitable<StoreStatus> revokeLease(int64_t id, Millis timeout) = 0;

    // Calls `handle` with each batch of events from `fromRevision` on. Returns when the stream ends, is silent
    // for longer than `silence`, or `handle` returns false. A store that can't tell why says that the history is gone.
    using WatchHandler = std::function<bool(int64_t revision, const std::vector<WatchEvent>&)>;
    virtual boost::asio::awaitable<WatchEnd> watch(
        std::string prefix, int64_t fromRevision, Millis silence, WatchHandler handle)
        = 0;
};

}
