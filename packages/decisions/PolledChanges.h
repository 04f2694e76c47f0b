// Up to which revision of the store a host knows all changes that it watches by a series of long polls.
//
// Failure pattern: a pending poll stops receiving changes without being closed, and ends empty at its time. The store's
// revision at that end counts changes which the poll has missed. The store looks for earlier changes when a poll
// begins, so a poll that ends empty has seen only what was written until then.
#pragma once

#include <cstdint>

namespace cumindale {

class PolledChanges {
public:
    void onRevision(int64_t storeRevision); // any answer of the store, in which it named this revision
    void onPollBegun() { m_atBegin = m_storeRevision; }
    // The poll that began last has ended with changes up to `newestChange` (0: none). Returns the revision up to which
    // all changes are known by it.
    int64_t onPollEnded(int64_t newestChange, int64_t storeRevision);

private:
    int64_t m_storeRevision = 0; // that the store is known to have reached
    int64_t m_atBegin = 0; // the same when the last poll began
};

}
