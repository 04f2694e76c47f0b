// The newest status snapshot of the control thread, for the operators' HTTP interface. Each snapshot replaces the
// previous one as a whole.
#pragma once

#include "control/ClusterView.h"
#include "decisions/StopGate.h"

#include <memory>
#include <mutex>

namespace cumindale {

struct StatusSnapshot {
    std::string host;
    bool counts = false; // see RoutingLease::countsInMajorities()
    bool isAssigner = false;
    bool storeAnswers = false;
    bool storeWentBack = false;
    LeaderView leader;
    std::shared_ptr<const Resources> resources;
    std::shared_ptr<const std::vector<ResourceEntry>> entries;
    std::shared_ptr<const Roster> roster;
    std::map<std::string, std::shared_ptr<const SliceTable>, std::less<>> tables;
    std::map<std::string, int64_t> freshForMillis; // remaining routing lease, by service; negative: it has ended
    HostReports reports; // by host
};

class StatusBoard {
public:
    void publish(std::shared_ptr<const StatusSnapshot> snapshot)
    {
        std::lock_guard lock(m_mutex);
        m_snapshot = std::move(snapshot);
    }

    std::shared_ptr<const StatusSnapshot> read() const // never null
    {
        std::lock_guard lock(m_mutex);
        return m_snapshot;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const StatusSnapshot> m_snapshot = std::make_shared<StatusSnapshot>();
};

}
