// How long a coordinator may go on without the store, and when a new one may count on that the former has stopped.
//
// The store may be away for all hosts: then the coordinator must go on renewing, or every key is lost after one hold.
// It may also be away for the coordinator alone: then another host is elected, and the former must stop. Both hosts
// judge by the same list of hosts, which the coordinator writes to the store. Each host reports to one coordinator
// only, the newest that it knows of. So:
//
// - Without the store's word, a coordinator goes on only while more than half of the listed hosts have reported to it
//   within `freshness` (and never longer than `longest`).
// - Once half of the listed hosts have reported to a new coordinator, the former one can't have more than half: it
//   stops within `freshness` and the time that a report may have been under way.
#pragma once

#include "base/Time.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace cumindale {

struct LeadershipTiming {
    Millis lease { 1'500 }; // of the office in the store
    Millis reportLifetime { 1'200 }; // of a host's report; a few report intervals
    Millis reportTimeout { 400 }; // a report arrives within it or never
    Millis maxWithoutStore { 12'000 }; // without the store; longer than the outages that hosts see
};

class LeadershipRules {
public:
    explicit LeadershipRules(LeadershipTiming timing)
        : m_timing(timing)
    {
    }

    void setListedHosts(std::set<std::string, std::less<>> hosts)
    {
        m_listedHosts = std::move(hosts);
    } // as in the store
    const std::set<std::string, std::less<>>& listedHosts() const { return m_listedHosts; }
    void onReport(std::string_view host, Instant now);

    // `confirmed`: when the store was asked that last said that the office is this host's.
    bool mayAct(Instant confirmed, Instant now) const;
    // Whether enough hosts report here that a former coordinator must stop, and when it has, at the latest.
    bool previousLostMajority() const;
    Instant previousStoppedBy(Instant now) const { return now + m_timing.reportLifetime + m_timing.reportTimeout; }

private:
    LeadershipTiming m_timing;
    std::set<std::string, std::less<>> m_listedHosts;
    std::map<std::string, Instant, std::less<>> m_reports; // of listed hosts in this term
};

}
