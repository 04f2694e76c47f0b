// Sends hosts that lack the entries of all servers the coordinator's snapshot of them: with the answer to a report
// while few hosts lack them, and through the relays when many do, such as after a common start. A thousand answers of
// some hundred kB each would fill the coordinator's own link for many seconds.
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
    // Adds the snapshot to the answer if the host needs it, or notes that the host awaits it. `mayBeLarge`: as for the
    // Announcer.
    void addSnapshot(const wire::HostReport&, bool mayBeLarge, Instant now, wire::HostAdvice&);
    void publishIfDue(Instant now); // called repeatedly

private:
    bool isWidespread() const; // so many hosts lack the snapshot that it is sent to all
    const wire::News& snapshotAt(Instant now);
    wire::News makeSnapshot() const;

    const PlatformView& m_view;
    const ReportingHosts& m_hosts;
    Announcer& m_announcer;
    wire::News m_snapshot; // the last one; no items: none
    Instant m_madeAt {};
    std::set<std::string, std::less<>> m_lacking; // hosts that have asked
    Instant m_firstAskedAt {}; // of m_lacking
    Instant m_lastAskedAt {}; // when a host was added to m_lacking
    std::set<std::string, std::less<>> m_sentTo; // by the last publication, and not yet known to have it
    Instant m_publishedAt {};
};

}
