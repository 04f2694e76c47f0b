#include "overload_model.h"

#include "decisions/DeadlineQueue.h"
#include "decisions/ServerLimit.h"
#include "decisions/SlotShares.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace cumindale {

namespace {

    constexpr Instant begin { Millis(10'000) };
    constexpr Millis initialPeriod { 2'000 };
    constexpr Millis reportRoundTrip { 4 }; // a report and its answer
    constexpr Millis broadcastDelay { 8 }; // from the coordinator to the last host
    constexpr Millis crowdedBroadcastInterval { 1'000 };
    constexpr size_t hostsAtFullRate = 80; // with more hosts, each reports less often
    constexpr double earlyReportFraction = 0.4; // of the report interval
    constexpr int overdueFactor = 4; // multiple of the mean work
    constexpr PriorityClass priority = PriorityClass::Interactive;

    struct SentRequest {
        SlotRequest request;
        size_t host = 0;
        Instant sentAt {};
        Instant ends {};
    };

    struct SimulatedHost {
        DeadlineQueue queue;
        ServerLimit limit;
        std::map<TicketId, SlotRequest> waiting;
        Millis permitInterval { 300 }; // between two permits, from the last advice
        bool wasInUse = false; // in the last report
        bool answered = false; // since the last report
        double inFlightMillis = 0;
        double waitingMillis = 0;
        Instant lastReport {};
        Instant nextReport {};
    };

    class OverloadSimulation {
    public:
        OverloadSimulation(const OverloadScenario& scenario, LimitPolicy policy)
            : m_scenario(scenario)
            , m_policy(policy)
            , m_random(scenario.seed)
        {
            std::uniform_real_distribution<double> unit(0, 1);
            for (size_t i = 0; i < scenario.hosts; ++i) {
                SimulatedHost& host = m_hosts.emplace_back();
                host.nextReport = begin + Millis(std::llround(unit(m_random) * reportIntervalMillis()));
                host.lastReport = host.nextReport - Millis(std::llround(reportIntervalMillis()));
                host.limit.setSlotsAndHosts(scenario.slots, scenario.hosts);
                host.queue.releaseSlot(priority, scenario.work, begin);
            }
            m_demand.setReportInterval(Millis(std::llround(reportIntervalMillis())));
        }

        OverloadResult run()
        {
            for (Instant now = begin; now < begin + m_scenario.length; now += Millis(1)) {
                step(now);
                const size_t atServer = m_working.size() + m_queued.size() + m_hanging.size();
                m_result.maxAtServer = std::max(m_result.maxAtServer, atServer);
                countBusy(now);
            }
            m_result.busy = m_busySum / std::max(1.0, m_busySteps);
            m_result.meanRefusalMillis = m_result.refused ? m_refusalMillis / static_cast<double>(m_result.refused) : 0;
            return m_result;
        }

    private:
        double reportIntervalMillis() const
        {
            return 250 * std::max(1.0, static_cast<double>(m_scenario.hosts) / hostsAtFullRate);
        }

        Millis minReportInterval() const { return Millis(std::llround(reportIntervalMillis() * earlyReportFraction)); }

        // Requests permits and returns free places without delay, subject to the minimum time between two reports.
        void reportEarly(SimulatedHost& host, Instant now)
        {
            if (host.limit.crowded(now))
                host.nextReport = std::min(host.nextReport, std::max(now, host.lastReport + minReportInterval()));
        }

        void step(Instant now)
        {
            stepServer(now);
            deliverEvents(now);
            generateRequests(now);
            for (size_t i = 0; i < m_hosts.size(); ++i) {
                startQueued(i, now);
                SimulatedHost& host = m_hosts[i];
                host.inFlightMillis += host.queue.inFlight();
                host.waitingMillis += static_cast<double>(host.queue.queued());
                if (m_policy == LimitPolicy::Shares && now >= host.nextReport)
                    report(i, now);
            }
        }

        // --- The server

        Millis randomWork()
        {
            std::uniform_real_distribution<double> factor(0.5, 1.5);
            return Millis(std::llround(static_cast<double>(m_scenario.work.count()) * factor(m_random)));
        }

        void stepServer(Instant now)
        {
            std::erase_if(m_working, [&](const SentRequest& sent) {
                if (sent.ends > now)
                    return false;
                ++m_result.served;
                m_result.inTarget += now <= sent.request.target;
                m_hosts[sent.host].queue.releaseSlot(priority, std::max(Millis(1), now - sent.sentAt), now);
                m_hosts[sent.host].answered = true;
                reportEarly(m_hosts[sent.host], now);
                return true;
            });
            std::erase_if(m_hanging, [&](const SentRequest& sent) {
                if (sent.request.deadline > now)
                    return false;
                m_hosts[sent.host].queue.releaseSlot(priority, Millis(0), now);
                return true;
            });
            while (m_working.size() < m_scenario.slots && !m_queued.empty()) {
                SentRequest sent = m_queued.front();
                m_queued.pop_front();
                if (sent.request.deadline <= now) {
                    m_hosts[sent.host].queue.releaseSlot(priority, Millis(0), now);
                    continue;
                }
                sent.ends = now + randomWork();
                m_working.push_back(sent);
            }
        }

        void send(size_t host, const SlotRequest& request, Instant now)
        {
            ++m_result.sends;
            SentRequest sent { request, host, now, {} };
            if (m_working.size() < m_scenario.slots) {
                sent.ends = now + randomWork();
                m_working.push_back(sent);
                return;
            }
            if (m_queued.size() < m_scenario.queue) {
                m_queued.push_back(sent);
                return;
            }
            ++m_result.overflowed;
            if (m_scenario.whenFull == WhenFull::Hangs)
                m_hanging.push_back(sent);
            else
                m_hosts[host].queue.releaseSlot(priority, Millis(0), now);
        }

        void countBusy(Instant now)
        {
            if (now < begin + initialPeriod + Millis(1'000))
                return;
            m_busySum += static_cast<double>(m_working.size()) / m_scenario.slots;
            ++m_busySteps;
        }

        // --- The hosts

        void generateRequests(Instant now)
        {
            const double rate
                = now < begin + initialPeriod ? m_scenario.initialRequestsPerSecond : m_scenario.requestsPerSecond;
            std::poisson_distribution<int> arrivals(rate / 1000);
            for (int count = arrivals(m_random); count > 0; --count) {
                std::uniform_real_distribution<double> unit(0, 1);
                const double index = std::pow(unit(m_random), m_scenario.skew) * static_cast<double>(m_scenario.hosts);
                submit(static_cast<size_t>(index), now);
            }
        }

        void submit(size_t number, Instant now)
        {
            SimulatedHost& host = m_hosts[number];
            SlotRequest request;
            request.ticket = ++m_ticket;
            request.priority = priority;
            request.arrived = now;
            request.target = now + m_scenario.target;
            request.deadline = now + m_scenario.deadline;
            ++m_result.requests;
            setLimit(host, now);
            switch (host.queue.requestSlot(request, now)) {
            case SlotQueue::Verdict::Started:
                send(number, request, now);
                break;
            case SlotQueue::Verdict::Queued:
                host.waiting.emplace(request.ticket, request);
                reportEarly(host, now);
                break;
            case SlotQueue::Verdict::Refused:
                countRefused(request, now);
                break;
            }
            countShed(host, now);
        }

        void setPermits(SimulatedHost& host, unsigned permits, Instant now)
        {
            host.queue.setPermits(permits, host.permitInterval, now);
            countShed(host, now);
        }

        void countShed(SimulatedHost& host, Instant now)
        {
            for (const TicketId shed : host.queue.takeShed()) {
                countRefused(host.waiting.at(shed), now);
                host.waiting.erase(shed);
            }
        }

        void countRefused(const SlotRequest& request, Instant now)
        {
            ++m_result.refused;
            m_refusalMillis += static_cast<double>((now - request.arrived).count());
        }

        void setLimit(SimulatedHost& host, Instant now)
        {
            host.queue.setLimit(m_policy == LimitPolicy::Fixed ? 1.5 * m_scenario.slots : host.limit.value());
            if (!host.limit.crowded(now))
                host.queue.setPermits(std::nullopt, Millis(0), now);
        }

        void startQueued(size_t number, Instant now)
        {
            SimulatedHost& host = m_hosts[number];
            for (auto it = host.waiting.begin(); it != host.waiting.end();) {
                if (host.queue.latestStart(it->second) > now) {
                    ++it;
                    continue;
                }
                host.queue.withdraw(it->first);
                countRefused(it->second, now);
                it = host.waiting.erase(it);
            }
            if (host.waiting.empty())
                return;
            setLimit(host, now);
            while (const auto next = host.queue.startNext(now)) {
                const SlotRequest request = host.waiting.at(*next);
                host.waiting.erase(*next);
                send(number, request, now);
            }
        }

        // --- Reports and advice

        void report(size_t number, Instant now)
        {
            SimulatedHost& host = m_hosts[number];
            const auto elapsedMillis = static_cast<double>((now - host.lastReport).count());
            Demand demand;
            demand.inFlight = std::exchange(host.inFlightMillis, 0) / elapsedMillis;
            demand.waiting = std::exchange(host.waitingMillis, 0) / elapsedMillis;
            demand.present = countOf(number, Millis(0), now);
            demand.overdue = countOf(number, host.queue.meanWork(priority) * overdueFactor, now);
            demand.answered = std::exchange(host.answered, false);
            demand.waitingNow = static_cast<unsigned>(host.queue.queued());
            host.lastReport = now;
            host.nextReport = now + Millis(std::llround(reportIntervalMillis()));
            const bool inUse = demand.inFlight > 0 || demand.waiting > 0 || demand.waitingNow;
            const bool wasInUse = std::exchange(host.wasInUse, inUse);
            if (!inUse && !(wasInUse && host.limit.crowded(now))) {
                host.limit.clearShare();
                return; // the report leaves this server out
            }
            if (host.limit.crowded(now))
                setPermits(host, 0, now);
            schedule(now + reportRoundTrip / 2,
                [this, number, demand](Instant then) { handleReport(number, demand, then); });
        }

        unsigned countOf(size_t number, Millis atLeast, Instant now) const
        {
            const auto counts
                = [&](const SentRequest& sent) { return sent.host == number && now - sent.sentAt >= atLeast; };
            return static_cast<unsigned>(std::count_if(m_working.begin(), m_working.end(), counts)
                + std::count_if(m_queued.begin(), m_queued.end(), counts)
                + std::count_if(m_hanging.begin(), m_hanging.end(), counts));
        }

        void handleReport(size_t number, const Demand& demand, Instant now)
        {
            const std::string name = "host-" + std::to_string(number);
            m_demand.report(name, demand, now);
            if (hostsExceedQueue(m_scenario.hosts, m_scenario.slots) && m_demand.crowded(m_scenario.slots, now)) {
                broadcastCrowded(now);
                const unsigned permits = m_demand.takePermits(name, m_scenario.slots, now);
                const Millis permitInterval
                    = m_demand.permitInterval(m_scenario.slots, static_cast<double>(m_scenario.work.count()), now);
                schedule(now + reportRoundTrip / 2, [this, number, permits, permitInterval](Instant then) {
                    m_hosts[number].permitInterval = permitInterval;
                    m_hosts[number].limit.setCrowded(then);
                    setPermits(m_hosts[number], permits, then);
                });
                return;
            }
            const bool pressed = m_demand.underPressure(m_scenario.slots, now);
            const double share = m_demand.shareOf(name, m_scenario.slots, m_scenario.hosts, now);
            schedule(now + reportRoundTrip / 2, [this, number, pressed, share](Instant) {
                if (pressed)
                    m_hosts[number].limit.setShare(share);
                else
                    m_hosts[number].limit.setUnrestricted();
            });
        }

        void broadcastCrowded(Instant now)
        {
            if (now - m_lastCrowdedBroadcast < crowdedBroadcastInterval)
                return;
            m_lastCrowdedBroadcast = now;
            schedule(now + broadcastDelay, [this](Instant then) {
                for (SimulatedHost& host : m_hosts) {
                    if (!host.limit.crowded(then))
                        setPermits(host, 0, then);
                    host.limit.setCrowded(then);
                }
            });
        }

        void schedule(Instant time, std::function<void(Instant)> what) { m_events.emplace(time, std::move(what)); }

        void deliverEvents(Instant now)
        {
            while (!m_events.empty() && m_events.begin()->first <= now) {
                m_events.begin()->second(now);
                m_events.erase(m_events.begin());
            }
        }

        OverloadScenario m_scenario;
        LimitPolicy m_policy;
        std::mt19937_64 m_random;
        std::deque<SimulatedHost> m_hosts;
        SlotDemand m_demand { {} };
        Instant m_lastCrowdedBroadcast {};
        std::multimap<Instant, std::function<void(Instant)>> m_events;
        std::vector<SentRequest> m_working;
        std::deque<SentRequest> m_queued;
        std::vector<SentRequest> m_hanging;
        TicketId m_ticket = 0;
        double m_refusalMillis = 0;
        double m_busySum = 0;
        double m_busySteps = 0;
        OverloadResult m_result;
    };

}

OverloadResult simulateOverload(const OverloadScenario& scenario, LimitPolicy policy)
{
    return OverloadSimulation(scenario, policy).run();
}

}
