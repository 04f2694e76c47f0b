// Counters, gauges and distributions of one process, served as text at /metrics.
//
// Counters and gauges are atomics that any thread may update. A Distribution is updated by one thread and copied
// under its own lock, so that a reader delays a request by no more than the time of one copy.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace cumindale {

class Counter {
public:
    void add(uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }
    void set(uint64_t value) { m_value.store(value, std::memory_order_relaxed); } // for gauges
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

// Count, mean, p50, p99 and maximum since process start, in microseconds (Boost.Accumulators, P² quantiles).
class Distribution {
public:
    Distribution();
    ~Distribution();
    void add(double microseconds);
    std::string text(std::string_view name) const;

private:
    struct Accumulator;
    mutable std::mutex m_mutex;
    std::unique_ptr<Accumulator> m_accumulator;
};

class Metrics {
public:
    // Returns the same object for the same name; callers should keep the reference.
    Counter& counter(const std::string& name);
    Distribution& distribution(const std::string& name);
    std::string text() const; // `name value` lines, sorted

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<Distribution>> m_distributions;
};

}
