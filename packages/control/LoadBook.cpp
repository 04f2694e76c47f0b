#include "control/LoadBook.h"

#include <algorithm>
#include <numeric>

namespace cumindale {

namespace {

    constexpr Millis reportLives { 5'000 }; // a host silent for longer is left out
    constexpr Millis averageEvery { 1'000 };
    constexpr double newestWeight = 0.1; // about the last twenty averages
    constexpr double leastHotLoad = 10; // ms of work a second: a hundredth of a slot
    constexpr double hotShare = 0.002; // of the service's load: heavier keys get a slice of their own

}

void LoadBook::report(const std::string& host, const std::string& service, HostLoad load, Instant now)
{
    m_books[service].hosts[host] = { std::move(load), now };
}

std::vector<double> LoadBook::sliceLoad(const SliceTable& table, Instant now)
{
    Book& book = m_books[table.service];
    std::erase_if(book.hosts, [now](const auto& entry) { return now - entry.second.second > reportLives; });
    const bool due = now - book.averagedAt >= averageEvery;
    std::vector<double> sum(table.slices.size(), 0);
    bool any = false;
    for (const auto& [host, entry] : book.hosts) {
        if (entry.first.tableVersion != table.version)
            continue; // its slices are others; the next report fits again
        any = true;
        for (const auto& [slice, load] : entry.first.slices) {
            if (slice < sum.size())
                sum[slice] += load;
        }
    }
    // The first ones weigh alike, so that a young average is not ruled by its first report.
    if (due && any)
        ++book.averages;
    const double weight = std::max(newestWeight, 1.0 / static_cast<double>(std::max<uint64_t>(1, book.averages)));
    // What was known of slices that have been joined since goes to those that hold their points now.
    std::map<uint64_t, double> former;
    for (const auto& [begin, load] : book.average)
        former[table.slices[table.indexOf(begin)].begin] += load;
    book.average = std::move(former);
    std::map<uint64_t, double> average;
    for (size_t i = 0; i < sum.size(); ++i) {
        const auto before = book.average.find(table.slices[i].begin);
        const double old = before == book.average.end() ? 0 : before->second;
        const bool known = before != book.average.end();
        average[table.slices[i].begin] = !any || !due ? old : known ? old + weight * (sum[i] - old) : sum[i];
    }
    if (due && any)
        book.averagedAt = now;
    book.average = std::move(average);
    std::vector<double> result;
    for (const auto& slice : table.slices)
        result.push_back(book.average[slice.begin]);
    if (std::accumulate(result.begin(), result.end(), 0.0) <= 0)
        result.clear();
    return result;
}

std::vector<HotKey> LoadBook::hotKeys(const SliceTable& table) const
{
    const auto book = m_books.find(table.service);
    if (book == m_books.end())
        return {};
    std::map<uint64_t, double> sum;
    double total = 0;
    for (const auto& [host, entry] : book->second.hosts) {
        for (const auto& [slice, load] : entry.first.slices)
            total += load;
        for (const auto& [point, load] : entry.first.keys)
            sum[point] += load;
    }
    std::vector<HotKey> keys;
    for (const auto& [point, load] : sum) {
        if (load >= hotShare * total && load >= leastHotLoad)
            keys.push_back({ point, load });
    }
    std::sort(keys.begin(), keys.end(), [](const HotKey& a, const HotKey& b) { return a.load > b.load; });
    return keys;
}

}
