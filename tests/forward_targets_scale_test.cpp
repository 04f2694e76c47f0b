// What the lists of forward targets cost at the coordinator of a large fleet, and how they spread the load.
//
// The bounds come from the size and the limits of docs/CAPACITY.md, with some 256 hosts in each data centre.
#include "decisions/FleetTiming.h"
#include "gateway/ForwardAnnouncer.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <doctest/doctest.h>
#include <malloc.h>
#include <map>
#include <numeric>
#include <random>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace cumindale;

namespace {

struct FleetSize {
    size_t hosts = 0;
    size_t dataCentres = 0;
};

constexpr std::array<FleetSize, 3> fleetSizes { { { 984, 4 }, { 1'968, 8 }, { 11'000, 43 } } };

// Control may cost a host 1.1% of a core, 128 MB and 19 kB a second.
constexpr double controlShareOfCore = 0.011;
constexpr double controlMegabytes = 128;
constexpr size_t controlBytesPerSecond = 19'000;
constexpr Millis freshHostTime { 26'000 }; // in which fresh hosts get what they need
constexpr size_t listBytes = 400; // of one host's list
constexpr double shareOfControlMemory = 0.05; // the plan is one of some twenty tables of a coordinator

// A host's own requests take 16% of a core.
constexpr double requestsPerSecond = 5'182;
constexpr double requestsPerSecondOfOneCore = 33'049;
constexpr size_t requestsInProgress = 26; // 5 ms each

double processorMillis()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

double allocatedMegabytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

std::string dataCentreOf(size_t host, const FleetSize& size)
{
    return "hall-" + std::to_string(host % size.dataCentres);
}

std::string nameOf(size_t host, const FleetSize& size)
{
    return "edge-" + dataCentreOf(host, size) + "-" + std::to_string(host / size.dataCentres);
}

std::vector<ForwardTarget> hostsOf(const FleetSize& size)
{
    std::vector<ForwardTarget> hosts;
    for (size_t i = 0; i < size.hosts; ++i)
        hosts.push_back({ nameOf(i, size), dataCentreOf(i, size),
            "10." + std::to_string(i / 200) + ".117." + std::to_string(i % 200) + ":7663" });
    return hosts;
}

size_t encodedBytes(const wire::HostAdvice& advice)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    for (const auto& target : advice.forwardTargets)
        target.write(&protocol);
    return buffer->available_read();
}

// A coordinator, and the reports of all hosts by turns.
class ReportingFleet {
public:
    explicit ReportingFleet(const FleetSize& size)
    {
        for (const auto& host : hostsOf(size)) {
            wire::HostReport report;
            report.sender = host.host;
            report.dataCentre = host.dataCentre;
            report.address = host.address;
            report.forwardPort = 7'663;
            m_hosts.onReport(report, m_now);
            m_reports.push_back(std::move(report));
        }
        m_announcer.beginTerm(m_now);
    }

    struct Round {
        double millis = 0; // of processor time
        size_t lists = 0; // sent
        size_t bytes = 0; // of all lists sent
        size_t longestList = 0; // in bytes
    };

    // Each host reports once, and remembers the list that it is sent.
    Round playRound()
    {
        m_now += 2 * fleetTiming(m_reports.size()).reportInterval;
        std::vector<wire::HostAdvice> advice(m_reports.size());
        const double begin = processorMillis();
        for (size_t i = 0; i < m_reports.size(); ++i)
            m_announcer.addTargets(m_reports[i], m_hosts, m_now, advice[i]);
        Round round { processorMillis() - begin };
        for (size_t i = 0; i < m_reports.size(); ++i) {
            if (advice[i].forwardTargets.empty())
                continue;
            m_reports[i].forwardTargetsKnown = advice[i].forwardTargetsChecksum;
            const size_t bytes = encodedBytes(advice[i]);
            ++round.lists;
            round.bytes += bytes;
            round.longestList = std::max(round.longestList, bytes);
        }
        return round;
    }

    void cutOff(size_t host)
    {
        m_reports[host].cutOff = true;
        m_hosts.onReport(m_reports[host], m_now);
    }

    // That all hosts report anew, as to a coordinator that succeeds another.
    void forgetLists()
    {
        for (auto& report : m_reports)
            report.forwardTargetsKnown = 0;
    }

private:
    Instant m_now = instantFromMillis(1'000'000);
    std::vector<wire::HostReport> m_reports;
    ReportingHosts m_hosts;
    ForwardAnnouncer m_announcer;
};

struct Spread {
    double busiest = 0; // requests at the busiest target, as a multiple of what a host's own callers send
    double mean = 0; // of the hosts that are targets
    size_t mostSenders = 0; // hosts that forward to one target
};

// A share of one data centre's hosts forwards all requests. Each host sends as many as every other, and has a fixed
// number in progress, the oldest of which ends first.
Spread spreadOf(const FleetSize& size, double cutShare, uint64_t seed)
{
    constexpr size_t requestsEach = 600;
    std::mt19937_64 random(seed);
    const auto all = hostsOf(size);
    std::vector<ForwardTarget> cut;
    std::vector<ForwardTarget> reaching;
    std::vector<size_t> ofDataCentre;
    for (size_t i = 0; i < all.size(); i += size.dataCentres)
        ofDataCentre.push_back(i);
    std::shuffle(ofDataCentre.begin(), ofDataCentre.end(), random);
    ofDataCentre.resize(static_cast<size_t>(static_cast<double>(ofDataCentre.size()) * cutShare));
    for (size_t i = 0; i < all.size(); ++i) {
        const bool isCut = std::find(ofDataCentre.begin(), ofDataCentre.end(), i) != ofDataCentre.end();
        (isCut ? cut : reaching).push_back(all[i]);
    }
    ForwardPlan plan;
    plan.setHosts(reaching);
    std::map<std::string, size_t> requests;
    std::map<std::string, size_t> senders;
    for (const auto& host : cut) {
        ForwardChoice choice(host.dataCentre);
        choice.setTargets(plan.targetsOf(host.host, host.dataCentre));
        for (const auto& target : choice.targets())
            ++senders[target.host];
        std::vector<std::string> sent;
        for (size_t i = 0; i < requestsEach; ++i) {
            if (sent.size() >= requestsInProgress)
                choice.ended(sent[sent.size() - requestsInProgress]);
            sent.push_back(choice.choose({}, Instant {}, random())->host);
            choice.started(sent.back());
            ++requests[sent.back()];
        }
    }
    Spread spread;
    for (const auto& [host, count] : requests) {
        const double share = 1 + static_cast<double>(count) / requestsEach;
        spread.busiest = std::max(spread.busiest, share);
        spread.mean += share / static_cast<double>(requests.size());
    }
    for (const auto& [host, count] : senders)
        spread.mostSenders = std::max(spread.mostSenders, count);
    return spread;
}

}

// Guards against a coordinator whose processor is busy with lists: at the start of its term, when one host is cut off,
// and while nothing changes.
TEST_CASE("planning the lists of all hosts stays within a coordinator's processor time")
{
    for (const auto& size : fleetSizes) {
        CAPTURE(size.hosts);
        const Millis interval = fleetTiming(size.hosts).reportInterval;
        const double budget = static_cast<double>(interval.count()) * controlShareOfCore;
        const double startBudget = static_cast<double>(freshHostTime.count()) * controlShareOfCore;
        constexpr size_t runs = 5;
        // The least of several runs, as other processes use the same caches.
        std::array<double, 3> least { 1e9, 1e9, 1e9 }; // all lists, after one cut, without change
        ReportingFleet fleet(size);
        for (size_t run = 0; run < runs; ++run) {
            fleet.forgetLists();
            fleet.cutOff(2 * run);
            least[0] = std::min(least[0], fleet.playRound().millis);
            fleet.cutOff(2 * run + 1);
            least[1] = std::min(least[1], fleet.playRound().millis);
            least[2] = std::min(least[2], fleet.playRound().millis);
        }
        MESSAGE(size.hosts, " hosts, processor ms a round of reports: all lists ", least[0], ", one host cut off ",
            least[1], ", nothing changed ", least[2], ", allowed ", budget);
        CHECK(least[0] <= startBudget);
        CHECK(least[1] <= budget);
        CHECK(least[2] <= budget);
    }
}

// Guards against lists that grow with the fleet, and against news to many hosts when one host is cut off.
TEST_CASE("a cut host costs a few short lists at any size")
{
    for (const auto& size : fleetSizes) {
        CAPTURE(size.hosts);
        ReportingFleet fleet(size);
        const auto first = fleet.playRound();
        CHECK(first.lists == size.hosts);
        CHECK(first.longestList <= listBytes);
        CHECK(fleet.playRound().lists == 0);
        size_t most = 0;
        size_t mostBytes = 0;
        constexpr size_t cuts = 20;
        size_t sum = 0;
        for (size_t i = 0; i < cuts; ++i) {
            fleet.cutOff(i * size.hosts / cuts);
            const auto round = fleet.playRound();
            sum += round.lists;
            most = std::max(most, round.lists);
            mostBytes = std::max(mostBytes, round.bytes);
        }
        MESSAGE(size.hosts, " hosts: all lists ", first.bytes, " bytes, the longest ", first.longestList,
            "; a cut changes ", static_cast<double>(sum) / cuts, " lists in the mean, ", most, " at most, ", mostBytes,
            " bytes");
        CHECK(sum <= cuts * ForwardPlanOptions().targets * 3 / 2);
        CHECK(mostBytes <= controlBytesPerSecond);
    }
}

// Guards against hosts that are in the lists of many others: when such a host is cut off, all of these get news. A list
// changes exactly if the host is in it.
TEST_CASE("no host is in many lists")
{
    constexpr size_t mostLists = controlBytesPerSecond / listBytes; // all news within a second
    for (const auto& size : fleetSizes) {
        CAPTURE(size.hosts);
        ForwardPlan plan;
        const auto hosts = hostsOf(size);
        plan.setHosts(hosts);
        std::map<std::string, size_t> lists;
        for (const auto& host : hosts) {
            for (const auto& target : plan.targetsOf(host.host, host.dataCentre))
                ++lists[target.host];
        }
        size_t most = 0;
        for (const auto& [host, count] : lists)
            most = std::max(most, count);
        MESSAGE(size.hosts, " hosts: a host is in ", most, " lists at most");
        CHECK(most <= mostLists);
    }
}

// Guards against a plan that takes a notable part of a coordinator's memory.
TEST_CASE("the plan takes little memory")
{
    for (const auto& size : fleetSizes) {
        CAPTURE(size.hosts);
        const double before = allocatedMegabytes();
        ForwardPlan plan;
        plan.setHosts(hostsOf(size));
        const double used = allocatedMegabytes() - before;
        MESSAGE(size.hosts, " hosts: ", used, " MB");
        CHECK(used <= controlMegabytes * shareOfControlMemory);
    }
}

// Guards against coordinators whose checksums differ for the same list, or don't tell different lists apart.
TEST_CASE("checksums of lists are equal exactly if the lists are")
{
    auto hosts = hostsOf(fleetSizes.front());
    ForwardPlan plan;
    plan.setHosts(hosts);
    auto changed = hosts;
    changed.erase(changed.begin() + 100);
    changed[300].address = "10.9.9.9:7663";
    std::reverse(changed.begin(), changed.end()); // the order of the hosts doesn't count
    ForwardPlan other;
    other.setHosts(changed);
    size_t equal = 0;
    for (const auto& host : hosts) {
        const bool same = plan.targetsOf(host.host, host.dataCentre) == other.targetsOf(host.host, host.dataCentre);
        CHECK((plan.checksumOf(host.host, host.dataCentre) == other.checksumOf(host.host, host.dataCentre)) == same);
        equal += same;
    }
    CHECK(equal < hosts.size());
    CHECK(equal > hosts.size() / 2);
}

// Guards against targets that get more than their processor can serve while the hosts beside them have time to spare.
TEST_CASE("no target gets more requests than one core serves when hosts of a data centre are cut off")
{
    constexpr double mostLoad = requestsPerSecondOfOneCore / requestsPerSecond;
    for (const auto& size : fleetSizes) {
        for (const double cutShare : { 0.1, 0.5 }) {
            CAPTURE(size.hosts);
            CAPTURE(cutShare);
            constexpr uint64_t seeds = 5;
            Spread worst;
            for (uint64_t seed = 1; seed <= seeds; ++seed) {
                const Spread spread = spreadOf(size, cutShare, seed);
                worst.busiest = std::max(worst.busiest, spread.busiest);
                worst.mean = std::max(worst.mean, spread.mean);
                worst.mostSenders = std::max(worst.mostSenders, spread.mostSenders);
            }
            MESSAGE(size.hosts, " hosts, ", cutShare, " of a data centre cut off: busiest target ", worst.busiest,
                " times its own requests, targets' mean ", worst.mean, ", from ", worst.mostSenders,
                " hosts at most; one core serves ", mostLoad);
            CHECK(worst.busiest <= mostLoad);
        }
    }
}
