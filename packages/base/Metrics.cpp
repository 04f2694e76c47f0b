#include "base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace cumindale {

namespace accumulators = boost::accumulators;

namespace {

    using Moments = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max>>;
    using Quantile = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::p_square_quantile>>;

}

struct Distribution::Accumulator {
    Moments moments;
    Quantile p50 { accumulators::quantile_probability = 0.50 };
    Quantile p99 { accumulators::quantile_probability = 0.99 };
};

Distribution::Distribution()
    : m_accumulator(std::make_unique<Accumulator>())
{
}

Distribution::~Distribution() = default;

void Distribution::add(double microseconds)
{
    std::lock_guard lock(m_mutex);
    m_accumulator->moments(microseconds);
    m_accumulator->p50(microseconds);
    m_accumulator->p99(microseconds);
}

std::string Distribution::text(std::string_view name) const
{
    std::lock_guard lock(m_mutex);
    const auto count = accumulators::count(m_accumulator->moments);
    std::ostringstream out;
    out << name << "_count " << count << '\n';
    if (!count)
        return out.str();
    out << name << "_mean_us " << accumulators::mean(m_accumulator->moments) << '\n';
    out << name << "_p50_us " << accumulators::p_square_quantile(m_accumulator->p50) << '\n';
    out << name << "_p99_us " << accumulators::p_square_quantile(m_accumulator->p99) << '\n';
    out << name << "_max_us " << accumulators::max(m_accumulator->moments) << '\n';
    return out.str();
}

Counter& Metrics::counter(const std::string& name)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_counters[name];
    if (!entry)
        entry = std::make_unique<Counter>();
    return *entry;
}

Distribution& Metrics::distribution(const std::string& name)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_distributions[name];
    if (!entry)
        entry = std::make_unique<Distribution>();
    return *entry;
}

std::string Metrics::text() const
{
    std::lock_guard lock(m_mutex);
    std::ostringstream out;
    for (const auto& [name, counter] : m_counters)
        out << name << ' ' << counter->value() << '\n';
    for (const auto& [name, distribution] : m_distributions)
        out << distribution->text(name);
    return out.str();
}

}
