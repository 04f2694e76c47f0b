// Sends hosts that lack much what they lack: the coordinator's snapshot of the entries of all servers, and whole
// tables. With the answer to a report while few hosts lack them, and through the relays when many do, such as after a
// common start or a change of coordinator. A thousand answers of some hundred kB each would fill the coordinator's link
// for many seconds, arrive too late for their reports, and be asked for again.
#pragma once

#include "gateway/Announcer.h"
#include "gateway/PlatformView.h"
#include "gateway/ReportingHosts.h"

#include <set>
#include <string>

namespace cumindale {

class SnapshotAnnouncer {
public:
    SnapshotAnnouncer(const PlatformView&, const ReportingHosts&, Announcer&);
    void clear(); // the term has ended
    // Notes what the reporting host lacks. Returns whether it gets that through the relays.
    bool leavesToRelays(const wire::HostReport&, Instant now);
    // Adds the snapshot to the answer if the host needs it. `mayBeLarge`: as for the Announcer.
    void addSnapshot(const wire::HostReport&, bool mayBeLarge, Instant now, wire::HostAdvice&);
    void publishIfDue(Instant now); // called repeatedly

private:
    bool isWidespread() const; // so many hosts lack something that it is sent to all
    Millis longestDelay() const; // of a publication
    const wire::News& snapshotAt(Instant now);
    wire::News makeSnapshot() const;

    const PlatformView& m_view;
    const ReportingHosts& m_hosts;
    Announcer& m_announcer;
    wire::News m_snapshot; // the last one; no items: none
    Instant m_madeAt {};
    std::set<std::string, std::less<>> m_lacking; // hosts that lack something
    bool m_snapshotLacking = false; // one of them lacks the entries
    Instant m_firstAskedAt {}; // of m_lacking
    Instant m_lastAskedAt {}; // when a host was added to m_lacking
    std::set<std::string, std::less<>> m_sentTo; // by the last publication, and not yet known to have it
    Instant m_publishedAt {};
};

}
