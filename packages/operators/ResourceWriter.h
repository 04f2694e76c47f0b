// Writes operators' resources to the store: checked, conditional, and sure of what became of a write.
//
// All writes go through one guard key, compared and rewritten in the same transaction. So references are
// checked against exactly what the write commits upon, and the guard's list of recent operations tells whether
// a write whose answer was lost took effect, even if somebody has overwritten it since.
#pragma once

#include "base/Metrics.h"
#include "resources/ResourceCodec.h"
#include "store/Store.h"

#include <optional>

namespace cumindale {

enum class WriteOutcome : uint8_t {
    Committed,
    Conflict, // the resource is at another revision than expected
    Invalid, // it, or what it refers to, is faulty
    NotFound, // erasing what is not there
    StoreUnavailable, // surely not written
    Unknown, // the store went silent in the write: ask again with the same operation id
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::StoreUnavailable;
    int64_t revision = 0; // committed: of the write; conflict: the current one, 0 if absent
    FieldError fault; // for Invalid
};

struct WriteOrder {
    ResourceDocument document; // spec unused when erasing
    bool erase = false;
    std::optional<int64_t> expectedRevision; // 0: must not exist; nothing: whatever is there
    std::string operationId; // chosen by the operator's client; the same for a repeated try
};

class ResourceWriter {
public:
    ResourceWriter(const Clock&, Store&, Metrics&);
    boost::asio::awaitable<WriteResult> write(WriteOrder, Millis within);

private:
    const Clock& m_clock;
    Store& m_store;
    Counter& m_calls;
};

}
