// When a stopping slice may get its next owner.
//
// A move takes two commits. The first sets the slice Stopping; the second names the new owner. The second may
// be written when
//   (a) every listed host of the roster, departed ones included, has acknowledged the first and has nothing in
//       flight for the slice; or
//   (b) a majority has acknowledged the first, and since then the routing lease, the margin for clock drift and
//       the longest time that work can live at a server have passed.
// Time alone is never enough: a host cut off together with half of the roster could still be fresh.
//
// An acknowledgement speaks for the thread that dispatches. A host's new incarnation can't vouch for what the
// former one sent, so its word "nothing in flight" counts only once it is older than the longest work.
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
    Millis lease { 600 }; // the routing lease, as in FreshnessOptions
    Millis driftMargin { 100 }; // clocks of two hosts may run apart by this much in one wait
};

// A slice with dispatches in flight, as a host reports it.
struct BusySlice {
    std::string service;
    uint64_t begin = 0;

    auto operator<=>(const BusySlice&) const = default;
};

// What one host last said of itself; one snapshot of its dispatching thread.
struct HostReport {
    uint64_t incarnation = 0; // new at every start of the process
    Millis age { 0 }; // since that start
    bool counts = false; // see Freshness::counts()
    std::map<std::string, uint64_t, std::less<>> adoptedTables; // version by which it dispatches, by service
    uint64_t rosterVersion = 0;
    int64_t resourcesRevision = 0; // of the configuration in force at its dispatching thread
    std::vector<BusySlice> busy; // stopping slices with something in flight
    std::map<std::string, Reachability, std::less<>> sights; // of the backend servers it watches
};

using HostReports = std::map<std::string, HostReport, std::less<>>;

// One slice that waits for its second commit. The assigner keeps one for each and drops them when it loses
// its office: a new assigner starts the wait anew.
class StopGate {
public:
    StopGate(std::string service, uint64_t begin, uint64_t stopVersion, Millis longestWork, GateOptions);

    // Looks at the newest reports; call it whenever they change. `now` is the assigner's clock.
    void observe(const Roster&, const HostReports&, Instant now);
    bool mayOwn(Instant now) const; // after observe()
    bool waitedOut(Instant now) const; // (b) alone: whatever was dispatched before is over
    uint64_t stopVersion() const { return m_stopVersion; }

private:
    bool acknowledged(const HostReport&) const;
    bool nothingInFlight(const HostReport&) const;

    std::string m_service;
    uint64_t m_begin;
    uint64_t m_stopVersion;
    Millis m_longestWork;
    GateOptions m_options;
    std::set<std::string, std::less<>> m_acknowledged; // hosts whose acknowledgement was seen, ever
    std::optional<Instant> m_majorityAt; // when a majority was first seen
    bool m_allIdle = false;
};

}
