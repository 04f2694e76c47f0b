#include "crowd_model.h"

#include "decisions/ServerLimit.h"
#include "decisions/SlotShares.h"
#include "decisions/ValueQueue.h"

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
    constexpr Millis calmFor { 2'000 };
    constexpr Millis way { 4 }; // of a report and its answer together
    constexpr Millis newsWay { 8 }; // from the coordinator to the last host
    constexpr Millis repeatCrowded { 1'000 };
    constexpr size_t hostsAtFullRate = 80; // with more, each reports less often
    constexpr double earlyReport = 0.4; // of the time between two reports
    constexpr int overdueAfter = 4; // times the usual work
    constexpr PriorityClass priority = PriorityClass::Interactive;

    struct Sent {
        SlotRequest request;
        size_t host = 0;
        Instant at {};
        Instant ends {};
    };

    struct ModelHost {
        ValueQueue queue;
        ServerLimit limit;
        std::map<TicketId, SlotRequest> waiting;
        Millis pause { 300 }; // between two permits, as it was told
        bool told = false; // in the last report
        bool answered = false; // since the last report
        double inFlightMillis = 0;
        double waitingMillis = 0;
        Instant reported {};
        Instant nextReport {};
    };

    class Crowd {
    public:
        Crowd(const CrowdLoad& load, CrowdPolicy policy)
            : m_load(load)
            , m_policy(policy)
            , m_random(load.seed)
        {
            std::uniform_real_distribution<double> unit(0, 1);
            for (size_t i = 0; i < load.hosts; ++i) {
                ModelHost& host = m_hosts.emplace_back();
                host.nextReport = begin + Millis(std::llround(unit(m_random) * reportEvery()));
                host.reported = host.nextReport - Millis(std::llround(reportEvery()));
                host.limit.setSlotsAndHosts(load.slots, load.hosts);
                host.queue.finished(priority, load.work, begin);
            }
            m_demand.setReportInterval(Millis(std::llround(reportEvery())));
        }

        CrowdResult play()
        {
            for (Instant now = begin; now < begin + m_load.length; now += Millis(1)) {
                step(now);
                const size_t there = m_working.size() + m_queued.size() + m_hanging.size();
                m_result.mostAtServer = std::max(m_result.mostAtServer, there);
                countBusy(now);
            }
            m_result.busy = m_busySum / std::max(1.0, m_busySteps);
            m_result.heldMillis = m_result.refused ? m_heldMillis / static_cast<double>(m_result.refused) : 0;
            return m_result;
        }

    private:
        double reportEvery() const { return 250 * std::max(1.0, static_cast<double>(m_load.hosts) / hostsAtFullRate); }

        Millis leastPause() const { return Millis(std::llround(reportEvery() * earlyReport)); }

        // A permit is asked for, and a place given back, at once, but for the time between two reports.
        void reportEarly(ModelHost& host, Instant now)
        {
            if (host.limit.crowded(now))
                host.nextReport = std::min(host.nextReport, std::max(now, host.reported + leastPause()));
        }

        void step(Instant now)
        {
            serve(now);
            deliver(now);
            arrive(now);
            for (size_t i = 0; i < m_hosts.size(); ++i) {
                startWaiting(i, now);
                ModelHost& host = m_hosts[i];
                host.inFlightMillis += host.queue.inFlight();
                host.waitingMillis += static_cast<double>(host.queue.queued());
                if (m_policy == CrowdPolicy::Shares && now >= host.nextReport)
                    report(i, now);
            }
        }

        // --- The server

        Millis workOfOne()
        {
            std::uniform_real_distribution<double> around(0.5, 1.5);
            return Millis(std::llround(static_cast<double>(m_load.work.count()) * around(m_random)));
        }

        void serve(Instant now)
        {
            std::erase_if(m_working, [&](const Sent& sent) {
                if (sent.ends > now)
                    return false;
                ++m_result.served;
                m_result.inTarget += now <= sent.request.target;
                m_hosts[sent.host].queue.finished(priority, std::max(Millis(1), now - sent.at), now);
                m_hosts[sent.host].answered = true;
                reportEarly(m_hosts[sent.host], now);
                return true;
            });
            std::erase_if(m_hanging, [&](const Sent& sent) {
                if (sent.request.deadline > now)
                    return false;
                m_hosts[sent.host].queue.finished(priority, Millis(0), now);
                return true;
            });
            while (m_working.size() < m_load.slots && !m_queued.empty()) {
                Sent sent = m_queued.front();
                m_queued.pop_front();
                if (sent.request.deadline <= now) {
                    m_hosts[sent.host].queue.finished(priority, Millis(0), now);
                    continue;
                }
                sent.ends = now + workOfOne();
                m_working.push_back(sent);
            }
        }

        void send(size_t host, const SlotRequest& request, Instant now)
        {
            ++m_result.sends;
            Sent sent { request, host, now, {} };
            if (m_working.size() < m_load.slots) {
                sent.ends = now + workOfOne();
                m_working.push_back(sent);
                return;
            }
            if (m_queued.size() < m_load.queue) {
                m_queued.push_back(sent);
                return;
            }
            ++m_result.overflowed;
            if (m_load.whenFull == WhenFull::Hangs)
                m_hanging.push_back(sent);
            else
                m_hosts[host].queue.finished(priority, Millis(0), now);
        }

        void countBusy(Instant now)
        {
            if (now < begin + calmFor + Millis(1'000))
                return;
            m_busySum += static_cast<double>(m_working.size()) / m_load.slots;
            ++m_busySteps;
        }

        // --- The hosts

        void arrive(Instant now)
        {
            const double rate = now < begin + calmFor ? m_load.calmRequestsPerSecond : m_load.requestsPerSecond;
            std::poisson_distribution<int> arrivals(rate / 1000);
            for (int count = arrivals(m_random); count > 0; --count) {
                std::uniform_real_distribution<double> unit(0, 1);
                const double at = std::pow(unit(m_random), m_load.skew) * static_cast<double>(m_load.hosts);
                ask(static_cast<size_t>(at), now);
            }
        }

        void ask(size_t number, Instant now)
        {
            ModelHost& host = m_hosts[number];
            SlotRequest request;
            request.ticket = ++m_ticket;
            request.priority = priority;
            request.arrived = now;
            request.target = now + m_load.target;
            request.deadline = now + m_load.deadline;
            ++m_result.requests;
            setLimit(host, now);
            switch (host.queue.ask(request, now)) {
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
            tellShed(host, now);
        }

        void setPermits(ModelHost& host, unsigned permits, Instant now)
        {
            host.queue.setPermits(permits, host.pause, now);
            tellShed(host, now);
        }

        void tellShed(ModelHost& host, Instant now)
        {
            for (const TicketId shed : host.queue.takeShed()) {
                countRefused(host.waiting.at(shed), now);
                host.waiting.erase(shed);
            }
        }

        void countRefused(const SlotRequest& request, Instant now)
        {
            ++m_result.refused;
            m_heldMillis += static_cast<double>((now - request.arrived).count());
        }

        void setLimit(ModelHost& host, Instant now)
        {
            host.queue.setLimit(m_policy == CrowdPolicy::Fixed ? 1.5 * m_load.slots : host.limit.value());
            if (!host.limit.crowded(now))
                host.queue.setPermits(std::nullopt, Millis(0), now);
        }

        void startWaiting(size_t number, Instant now)
        {
            ModelHost& host = m_hosts[number];
            for (auto it = host.waiting.begin(); it != host.waiting.end();) {
                if (host.queue.giveUpAt(it->second) > now) {
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
            ModelHost& host = m_hosts[number];
            const auto over = static_cast<double>((now - host.reported).count());
            Demand demand;
            demand.inFlight = std::exchange(host.inFlightMillis, 0) / over;
            demand.waiting = std::exchange(host.waitingMillis, 0) / over;
            demand.present = countOf(number, Millis(0), now);
            demand.overdue = countOf(number, host.queue.meanWork(priority) * overdueAfter, now);
            demand.answered = std::exchange(host.answered, false);
            demand.waitingNow = static_cast<unsigned>(host.queue.queued());
            host.reported = now;
            host.nextReport = now + Millis(std::llround(reportEvery()));
            const bool inUse = demand.inFlight > 0 || demand.waiting > 0 || demand.waitingNow;
            const bool told = std::exchange(host.told, inUse);
            if (!inUse && !(told && host.limit.crowded(now))) {
                host.limit.clearShare();
                return; // the server is left out
            }
            if (host.limit.crowded(now))
                setPermits(host, 0, now);
            at(now + way / 2, [this, number, demand](Instant then) { takeReport(number, demand, then); });
        }

        unsigned countOf(size_t number, Millis atLeast, Instant now) const
        {
            const auto counts = [&](const Sent& sent) { return sent.host == number && now - sent.at >= atLeast; };
            return static_cast<unsigned>(std::count_if(m_working.begin(), m_working.end(), counts)
                + std::count_if(m_queued.begin(), m_queued.end(), counts)
                + std::count_if(m_hanging.begin(), m_hanging.end(), counts));
        }

        void takeReport(size_t number, const Demand& demand, Instant now)
        {
            const std::string name = "host-" + std::to_string(number);
            m_demand.report(name, demand, now);
            if (hostsExceedQueue(m_load.hosts, m_load.slots) && m_demand.crowded(m_load.slots, now)) {
                tellCrowded(now);
                const unsigned permits = m_demand.takePermits(name, m_load.slots, now);
                const Millis pause
                    = m_demand.permitInterval(m_load.slots, static_cast<double>(m_load.work.count()), now);
                at(now + way / 2, [this, number, permits, pause](Instant then) {
                    m_hosts[number].pause = pause;
                    m_hosts[number].limit.setCrowded(then);
                    setPermits(m_hosts[number], permits, then);
                });
                return;
            }
            const bool pressed = m_demand.underPressure(m_load.slots, now);
            const double share = m_demand.shareOf(name, m_load.slots, m_load.hosts, now);
            at(now + way / 2, [this, number, pressed, share](Instant) {
                if (pressed)
                    m_hosts[number].limit.setShare(share);
                else
                    m_hosts[number].limit.setUnrestricted();
            });
        }

        void tellCrowded(Instant now)
        {
            if (now - m_toldCrowded < repeatCrowded)
                return;
            m_toldCrowded = now;
            at(now + newsWay, [this](Instant then) {
                for (ModelHost& host : m_hosts) {
                    if (!host.limit.crowded(then))
                        setPermits(host, 0, then);
                    host.limit.setCrowded(then);
                }
            });
        }

        void at(Instant time, std::function<void(Instant)> what) { m_events.emplace(time, std::move(what)); }

        void deliver(Instant now)
        {
            while (!m_events.empty() && m_events.begin()->first <= now) {
                m_events.begin()->second(now);
                m_events.erase(m_events.begin());
            }
        }

        CrowdLoad m_load;
        CrowdPolicy m_policy;
        std::mt19937_64 m_random;
        std::deque<ModelHost> m_hosts;
        SlotDemand m_demand { {} };
        Instant m_toldCrowded {};
        std::multimap<Instant, std::function<void(Instant)>> m_events;
        std::vector<Sent> m_working;
        std::deque<Sent> m_queued;
        std::vector<Sent> m_hanging;
        TicketId m_ticket = 0;
        double m_heldMillis = 0;
        double m_busySum = 0;
        double m_busySteps = 0;
        CrowdResult m_result;
    };

}

CrowdResult playCrowd(const CrowdLoad& load, CrowdPolicy policy) { return Crowd(load, policy).play(); }

}
