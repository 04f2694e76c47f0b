// Store client for the HTTP/JSON gateway of etcd v3 (POST /v3/kv/range, /v3/kv/txn, /v3/lease/..., /v3/watch;
// keys and values in base64, 64-bit integers as strings).
#pragma once

#include "store/Store.h"
#include "web/HttpClient.h"

namespace cumindale {

class EtcdStore final : public Store {
public:
    EtcdStore(boost::asio::any_io_executor, std::string address, uint16_t port);

    boost::asio::awaitable<RangeReply> range(std::string key, bool prefix, Millis timeout) override;
    boost::asio::awaitable<TxnReply> txn(
        std::vector<Compare> conditions, std::vector<WriteOperation> writes, Millis timeout) override;
    boost::asio::awaitable<LeaseReply> grantLease(Millis ttl, Millis timeout) override;
    boost::asio::awaitable<LeaseReply> keepLeaseAlive(int64_t id, Millis timeout) override;
    boost::asio::awaitable<StoreStatus> revokeLease(int64_t id, Millis timeout) override;
    boost::asio::awaitable<WatchEnd> watch(
        std::string prefix, int64_t fromRevision, Millis idleTimeout, WatchHandler handler) override;

private:
    HttpClient m_client;
};

std::string prefixEnd(
    std::string_view prefix); // first key after all keys with the prefix; also used by the fake store server

}
