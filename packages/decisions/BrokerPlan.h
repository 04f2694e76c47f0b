// Which hosts grant the slots of which backend servers.
//
// The coordinator chooses the brokers among the hosts and tells all hosts. Each host works out by rendezvous hashing
// which of them grants the slots of a pool, so a broker that joins or leaves moves only its own pools, and hosts that
// know the same list agree without a message. If the first broker of a pool doesn't answer, hosts ask the second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct Broker {
    std::string host; // name
    std::string dataCentre;
    std::string address; // "IP:port" of the host's peer port; slot messages are datagrams to the same port
    bool operator==(const Broker&) const = default;
};

struct BrokerList {
    int64_t edition = 0; // higher than that of each earlier list
    std::vector<Broker> brokers; // ordered by name
};

struct BrokerCandidate {
    std::string host;
    std::string dataCentre;
    double strength = 0; // cores
};

struct BrokerPlanOptions {
    // Hosts for each broker. A broker then handles the slots of about as many requests as eight hosts receive, some
    // percent of a weak host's processor time.
    size_t hostsPerBroker = 8;
    size_t minBrokers = 4; // so that the loss of one host concerns a quarter of the pools at most
};

// Names of the brokers, ordered: the strongest hosts of each data centre, whose number is in proportion to its hosts.
std::vector<std::string> planBrokers(std::span<const BrokerCandidate>, const BrokerPlanOptions& = {});

// Indices of the first `count` brokers of a pool, best first.
std::vector<size_t> brokersOf(std::span<const Broker>, std::string_view pool, size_t count);

// --- Pools: servers whose slots are granted from one queue

// A keyed request must run on the server that holds its key, so each server of such a service is a pool of its own.
std::string poolOfServer(std::string_view server);
// Requests without a key may run on any server. A pool of several servers needs fewer spare slots than each server
// alone, but one broker must bear all its requests: a service is divided into pools of at most `maxServersPerPool`.
constexpr size_t maxServersPerPool = 32;
size_t poolCount(size_t servers); // number of pools of a service, a power of two
std::string poolOfService(std::string_view service, size_t index);
size_t poolIndexOf(std::string_view server, size_t pools); // of the pool that the server of a service belongs to

struct PoolName {
    std::string_view service; // empty: a pool of one server
    size_t index = 0;
    std::string_view server; // of a pool of one server
};
PoolName parsePool(std::string_view pool);

}
