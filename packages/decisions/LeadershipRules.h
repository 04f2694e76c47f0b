// Decides how long a coordinator may act without the store, and when a new coordinator can rely on the previous one
// having stopped.
//
// If the store is unavailable to all hosts, the coordinator must go on renewing grants, or every server loses its keys
// after one lease. If the store is unavailable to the coordinator alone, another host is elected and the previous
// coordinator must stop. Both use the same list of hosts, which the coordinator writes to the store, and each host
// reports to only one coordinator, the newest that it knows of. Hence these rules:
//
// - Without confirmation by the store, a coordinator acts only while more than half of the listed hosts have sent it a
//   report within the lifetime of a report, and never longer than `maxWithoutStore`.
// - A report counts from when it was sent, which may be long before it is read: it waits in a socket while the process
//   stands still, or arrives once a cut link works again (reportSentAfter()).
// - Once half of the listed hosts have reported to a new coordinator, the previous one can't have a majority. It stops
//   within the lifetime of a report.
// - The lifetime depends on the number of hosts in the list (FleetTiming). While a coordinator doesn't know whether its
//   write of another list has taken effect, it uses the shorter lifetime of the two lists. Thus a new coordinator,
//   which reads the list in the store, waits at least as long as the previous one may act.
#pragma once

#include "decisions/FleetTiming.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace cumindale {

struct LeadershipTiming {
    Millis lease { 1'500 }; // of the leadership in the store
    Millis maxWithoutStore { 12'000 }; // longer than the store outages that hosts see
};

// What a report repeats of the newest advice that its sender has received.
struct AdviceEcho {
    int64_t term = 0; // of the coordinator that gave the advice; 0: the host has received none
    Instant answeredAt {}; // when that coordinator gave it, by the coordinator's clock
    Millis age { 0 }; // since the host received it, by the host's clock
};

// The host sent its report no earlier than this, by the coordinator's clock. Instant {}: not known, since the report
// repeats no advice of this term. The two clocks need not agree.
Instant reportSentAfter(const AdviceEcho&, int64_t term, Instant now);

enum class ActingBasis : uint8_t {
    None, // the coordinator must not act
    Store, // the store has confirmed the leadership within its lease
    Reports, // without the store: most of the listed hosts have sent a report recently
};

std::string_view nameOf(ActingBasis);

class LeadershipRules {
public:
    explicit LeadershipRules(LeadershipTiming timing)
        : m_timing(timing)
    {
    }

    void setListedHosts(std::set<std::string, std::less<>> hosts); // the list in the store
    void onListWriteBegun(size_t hosts); // of a list of so many hosts; it may take effect at any time
    const std::set<std::string, std::less<>>& listedHosts() const { return m_listedHosts; }
    void onReport(std::string_view host, Instant sentAfter); // as from reportSentAfter()

    // `confirmed`: when the last request was sent to which the store answered that this host is the coordinator.
    ActingBasis basis(Instant confirmed, Instant now) const;
    bool mayAct(Instant confirmed, Instant now) const { return basis(confirmed, now) != ActingBasis::None; }
    size_t recentReports(Instant now) const; // number of listed hosts that have sent a report recently
    // Whether so many hosts report to this one that a previous coordinator has no majority and must stop.
    bool previousLostMajority() const;
    // When a previous coordinator that has just lost its majority has stopped at the latest. The timeout of a report is
    // a margin for clocks that run at different rates.
    Instant previousStoppedBy(Instant now) const { return now + m_previousReportLifetime + reportTimeout; }

private:
    LeadershipTiming m_timing;
    std::set<std::string, std::less<>> m_listedHosts;
    bool m_hasList = false;
    Millis m_previousReportLifetime = FleetTiming {}.reportLifetime; // by the list that the previous coordinator left
    Millis m_reportLifetime = FleetTiming {}.reportLifetime; // the shortest that applies to the list in the store
    // When each listed host sent its last report in this term, at the earliest. Instant {}: not known.
    std::map<std::string, Instant, std::less<>> m_reports;
};

}
