// Validates operators' resources and writes them to the store with optimistic concurrency control. Writes are
// idempotent by operation id.
//
// Every write compares and rewrites one guard key in the same transaction. References between resources are therefore
// validated against exactly the state that the write is based on. The guard's value lists recent operation ids, which
// shows whether a write whose reply was lost was committed, even if another write has overwritten the resource since.
#pragma once

#include "base/Metrics.h"
#include "resources/ResourceCodec.h"
#include "store/Store.h"

#include <optional>

namespace cumindale {

enum class WriteOutcome : uint8_t {
    Committed,
    Conflict, // the resource is at another revision than expected
    Invalid, // the resource or one of its references is invalid
    NotFound, // the resource to be erased does not exist
    StoreUnavailable, // definitely not written
    Unknown, // the store did not answer, the write may be committed: retry with the same operation id
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::StoreUnavailable;
    int64_t revision = 0; // Committed: revision of the write; Conflict: current revision, 0 if absent
    FieldError fault; // for Invalid
};

struct WriteRequest {
    ResourceDocument document; // spec is ignored if `erase` is set
    bool erase = false;
    std::optional<int64_t> expectedRevision; // 0: must not exist; nullopt: unconditional write
    std::string operationId; // chosen by the client; a retry uses the same id
};

class ResourceWriter {
public:
    ResourceWriter(const Clock&, Store&, Metrics&);
    boost::asio::awaitable<WriteResult> write(WriteRequest, Millis timeout);

private:
    const Clock& m_clock;
    Store& m_store;
    Counter& m_calls;
};

}
