// Between cumindaled processes. Carried in Thrift's framed transport with the compact protocol.
// The generated code in gen/ is committed; after a change run `make thrift`.
namespace cpp cumindale.wire

struct TableVersion {
    1: string serviceName
    2: i64 version
}

struct BusySlice {
    1: string serviceName
    2: i64 sliceBegin
}

struct ServerSight {
    1: string server
    2: i8 sight
}

// A host's state. Sent only if it changed since the receiver last got it.
struct HostState {
    1: i64 incarnation
    2: bool counts
    3: i64 rosterVersion
    4: i64 resourcesRevision // known
    5: i64 resourcesInForce // at the dispatching thread
    6: list<TableVersion> known
    7: list<TableVersion> adopted // at the dispatching thread
    8: list<BusySlice> busy
    9: list<ServerSight> sights
    10: i64 ageMillis // since the process started, when this state was made
}

// A request and its response. `sequence` numbers the sender's states; `holds` is the newest sequence of the
// other side that the sender holds, so that an unchanged state is not sent again.
struct Beat {
    1: string sender
    2: i64 sequence
    3: i64 holds
    4: optional HostState state
}

struct SliceLoad {
    1: i32 slice
    2: i32 busyMicrosPerSecond
}

struct KeyLoad {
    1: i64 point
    2: i32 busyMicrosPerSecond
}

// Load of one service as one host sent it, by the slices of one table version.
struct LoadReport {
    1: string sender
    2: string serviceName
    3: i64 tableVersion
    4: list<SliceLoad> slices
    5: list<KeyLoad> hotKeys
}

service Peers {
    Beat beat(1: Beat ask)
    void load(1: LoadReport report)
    binary table(1: string serviceName) // encoded; empty if unknown
    string roster() // JSON; empty if unknown
    string resources() // JSON; empty if unknown
}
