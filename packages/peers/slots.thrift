// Between hosts that need slots of backend servers and the hosts that grant them: one SlotMessage in each datagram,
// compact protocol. The fields are explained in decisions/SlotMessages.h.
// The generated code in gen/ is committed; after a change run `make thrift`.
namespace cpp cumindale.wire

struct SlotAsk {
    1: i64 ticket
    2: string pool
    3: i8 priority
    4: i32 rank
    5: i32 ageMillis
    6: i32 targetLeftMillis
    7: i32 deadlineLeftMillis
    8: optional string preferred
    9: optional list<string> excluded
    10: i64 identity
}

struct SlotEnd {
    1: i64 ticket
    2: string pool
    3: i32 tookMillis
    4: bool refused
}

struct HeldSlot {
    1: i64 ticket
    2: string pool
    3: string server
    4: i32 deadlineLeftMillis
}

struct SlotReply {
    1: i64 ticket
    2: i8 kind // SlotReply::Kind
    3: optional string server
    4: i32 waitMillis
}

struct SlotMessage {
    1: string sender
    2: i64 incarnation
    3: optional list<SlotAsk> asks
    4: optional list<SlotEnd> ends
    5: optional list<HeldSlot> held // absent: not stated
    6: optional list<SlotReply> replies
    7: string dataCentre // of the sender
}
