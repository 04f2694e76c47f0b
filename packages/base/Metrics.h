// Counters, gauges and distributions of one process, read as text at /metrics.
//
// Counters and gauges are atomics: any thread may add. A Distribution belongs to one thread and is copied out
// under its own lock, so a reader never stops a request for longer than one copy.
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
    void set(uint64_t value) { m_value.store(value, std::memory_order_relaxed); } // as a gauge
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

// Count, mean, p50, p99 and maximum since the start (Boost.Accumulators, P² quantiles). Unit: microseconds.
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
    Counter& counter(const std::string& name); // the same object for the same name; keep the reference
    Distribution& distribution(const std::string& name);
    std::string text() const; // `name value` lines, sorted

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<Distribution>> m_distributions;
};

}
