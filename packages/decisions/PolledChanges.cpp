#include "decisions/PolledChanges.h"

#include <algorithm>

namespace cumindale {

void PolledChanges::onRevision(int64_t storeRevision) { m_storeRevision = std::max(m_storeRevision, storeRevision); }

int64_t PolledChanges::onPollEnded(int64_t newestChange, int64_t storeRevision)
{
    onRevision(storeRevision);
    // A replica that is behind the one that was asked before has seen only its own revision.
    return std::max(newestChange, std::min(m_atBegin, storeRevision));
}

}
