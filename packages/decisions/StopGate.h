// Decides when a stopping slice may get its next owner.
//
// A move takes two commits. The first sets the slice to Stopping, the second sets the new owner. The second commit is
// allowed when
//   (a) every host in the roster, departed hosts included, has acknowledged the first commit and has no dispatch in
//       flight for the slice; or
//   (b) a majority has acknowledged the first commit, and since then the sum of the routing lease, the clock drift
//       margin and the longest work time has passed.
// A wait without a majority is never enough: a host that is partitioned together with half of the roster can keep
// renewing its routing lease.
//
// A host acknowledges a version when its dispatching thread has adopted that version. A new incarnation of a host
// doesn't know what the previous one sent. Its report of no dispatches in flight counts only when the incarnation is
// older than the longest work time.
#pragma once

#include "base/Time.h"
#include "decisions/Roster.h"
#include "decisions/ServerHealth.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct GateOptions {
    Millis lease { 600 }; // same as RoutingLeaseOptions::lease
    Millis driftMargin { 100 }; // allowance for how far two hosts' clocks may drift apart during one wait
};

// A slice with dispatches in flight, as reported by a host.
struct BusySlice {
    std::string service;
    uint64_t begin = 0;

    auto operator<=>(const BusySlice&) const = default;
};

// A host's last report about itself: one snapshot of its dispatching thread.
struct HostReport {
    uint64_t incarnation = 0; // differs for every start of the process
    Millis age { 0 }; // since the start of the process
    bool counts = false; // see RoutingLease::countsInMajorities()
    std::map<std::string, uint64_t, std::less<>> adoptedTables; // table version used for dispatch, by service
    uint64_t rosterVersion = 0;
    int64_t resourcesRevision = 0; // store revision of the configuration in force at its dispatching thread
    std::vector<BusySlice> busy; // stopping slices with dispatches in flight
    std::map<std::string, Reachability, std::less<>> sights; // its health observations, by backend server
};

using HostReports = std::map<std::string, HostReport, std::less<>>;

// The wait of one slice between its first and its second commit. The assigner keeps a gate for each stopping slice and
// drops all gates when it loses leadership; the next leader restarts the waits.
class StopGate {
public:
    StopGate(std::string service, uint64_t begin, uint64_t stopVersion, Millis longestWork, GateOptions);

    // Evaluates the newest reports; to be called whenever they change. `now` is the assigner's clock.
    void observe(const Roster&, const HostReports&, Instant now);
    bool mayAssignOwner(Instant now) const; // to be called after observe()
    bool waitIsOver(Instant now) const; // condition (b) alone: all dispatches by older versions have ended
    uint64_t stopVersion() const { return m_stopVersion; }

private:
    bool acknowledged(const HostReport&) const;
    bool nothingInFlight(const HostReport&) const;

    std::string m_service;
    uint64_t m_begin;
    uint64_t m_stopVersion;
    Millis m_longestWork;
    GateOptions m_options;
    std::set<std::string, std::less<>> m_acknowledged; // hosts that acknowledged in any report so far
    std::optional<Instant> m_majorityReachedAt; // when a majority had first acknowledged
    bool m_allIdle = false;
};

}
