// An in-memory store for single-threaded tests. Faults are set for each call.
#pragma once

#include "store/Store.h"

#include <deque>
#include <map>

namespace cumindale::fixture {

class FakeStore final : public Store {
public:
    enum class Fault { None, Down, AnswerLost }; // AnswerLost: the write takes effect, but the caller gets no answer

    std::deque<Fault> txnFaults; // for the next transactions in order; None when empty
    std::deque<Fault> rangeFaults; // for the next reads in order; None when empty
    std::function<void()> beforeTxn; // called once before the next transaction, to simulate a concurrent write
    std::map<std::string, KeyValue> values;
    int64_t revision = 1;
    size_t writes = 0;

    void put(const std::string& key, const std::string& value)
    {
        KeyValue& entry = values[key];
        entry.key = key;
        entry.value = value;
        entry.modRevision = ++revision;
    }

    boost::asio::awaitable<RangeReply> range(std::string key, bool prefix, Millis) override
    {
        if (nextFault(rangeFaults) != Fault::None)
            co_return RangeReply {};
        RangeReply reply;
        reply.status = StoreStatus::Ok;
        reply.revision = revision;
        for (const auto& [name, value] : values) {
            if (prefix ? name.starts_with(key) : name == key)
                reply.values.push_back(value);
        }
        co_return reply;
    }

    boost::asio::awaitable<TxnReply> txn(
        std::vector<Compare> conditions, std::vector<WriteOperation> operations, Millis) override
    {
        if (beforeTxn)
            std::exchange(beforeTxn, nullptr)();
        const Fault fault = nextFault(txnFaults);
        TxnReply reply;
        if (fault == Fault::Down)
            co_return reply;
        reply.status = StoreStatus::Ok;
        reply.succeeded = true;
        for (const auto& condition : conditions) {
            const auto found = values.find(condition.key);
            reply.succeeded
                = reply.succeeded && condition.modRevision == (found == values.end() ? 0 : found->second.modRevision);
        }
        if (reply.succeeded)
            apply(operations);
        reply.revision = revision;
        if (fault == Fault::AnswerLost)
            reply = TxnReply {};
        co_return reply;
    }

    boost::asio::awaitable<LeaseReply> grantLease(Millis ttl, Millis) override
    {
        co_return LeaseReply { StoreStatus::Ok, 7, ttl };
    }
    boost::asio::awaitable<LeaseReply> keepLeaseAlive(int64_t id, Millis) override
    {
        co_return LeaseReply { StoreStatus::Ok, id, Millis(2000) };
    }
    boost::asio::awaitable<StoreStatus> revokeLease(int64_t, Millis) override { co_return StoreStatus::Ok; }
    boost::asio::awaitable<WatchEnd> watch(std::string, int64_t, Millis, WatchHandler) override
    {
        co_return WatchEnd::HistoryGone;
    }

private:
    static Fault nextFault(std::deque<Fault>& faults)
    {
        if (faults.empty())
            return Fault::None;
        const Fault fault = faults.front();
        faults.pop_front();
        return fault;
    }

    void apply(const std::vector<WriteOperation>& operations)
    {
        ++revision;
        ++writes;
        for (const auto& operation : operations) {
            if (operation.erase)
                values.erase(operation.key);
            else
                values[operation.key] = { operation.key, operation.value, revision, revision, operation.lease };
        }
    }
};

}
