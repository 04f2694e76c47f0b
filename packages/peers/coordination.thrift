// Between every host and the coordinator, which assigns keys to servers. Framed transport, compact protocol.
// The generated code in gen/ is committed; after a change run `make thrift`.
namespace cpp cumindale.wire

struct KeyUse {
    1: i32 key
    2: i32 busyMicros // server time used since the last report
}

struct ServiceUse {
    1: string serviceName
    2: list<KeyUse> keys
    3: i64 term // of the table that the host routes by
    4: i64 edition
}

struct ServerUse {
    1: string server
    2: i32 inFlightCenti // mean number of concurrent requests at the server, in hundredths
    3: i32 waitingCenti // mean number of requests queued at this host for the server, in hundredths
    4: i32 workMicros // mean time of one request; 0: none completed
    5: i32 present // requests at the server at the moment
    6: i32 waitingNow // requests queued at this host for the server at the moment
    7: i32 overdue // requests at the server without an answer for several times the usual work
}

// Fingerprints of the requests that were at a server when it went away.
struct ServerCrash {
    1: string server
    2: list<i64> requests
}

// The request rate limit that a server stated in an answer.
struct ServerRate {
    1: string server
    2: bool limited // false: the server no longer states a limit
    3: double perSecond // total of all hosts, if limited
    4: i32 ageMillis // since the server stated the limit
}

struct HostReport {
    1: string sender
    2: string address // "IP:port" where the sender answers
    4: list<ServiceUse> services
    5: list<ServerUse> servers
    7: i64 lastChange // revision of the newest write by other clients that the host knows of
    8: i32 strengthCenti // processor capacity of the host, in hundredths of a core
    9: string dataCentre
    10: list<ServerCrash> crashes // since the last report
    11: list<i64> answered // suspects that a server has answered since
    12: list<i64> released // from quarantine, by an operator
    13: list<string> leaving // servers that announce in their answers that they are leaving, and whose entries don't
    14: list<ServerRate> rates // limits that servers stated recently
    15: i64 ratesKnown // edition of the coordinator's list of limits
    16: bool readsPacked // the host reads packed tables and items
    17: i64 brokersKnown // edition of the coordinator's list of brokers; 0: none
    18: bool brokersSlots // the host exchanges slot messages, and may become a broker
    19: bool cutOff // the host reaches no server
    20: i32 forwardPort // where the host takes requests that other hosts forward, at the IP of `address`; 0: it takes none
    21: i64 forwardTargetsKnown // checksum of the list of forward targets that the host has; 0: none
    22: i64 rulesKnown // revision of the newest operators' document that the host has received; 0: it doesn't say
    23: i64 standbysKnown // checksum of the list of standbys that the host has; 0: none
    24: bool answersAwaiting // the host answers reports of hosts that await a coordinator
    25: bool awaitsCoordinator // asks for missed changes alone, also a host that doesn't coordinate
    26: bool needsSnapshot // the host awaits all items, since the store doesn't carry the reads of all hosts
    27: i64 adviceTerm // of the newest advice that the host has received; 0: none
    28: i64 adviceAnsweredAt // as in that advice
    29: i32 adviceAgeMillis // since the host received that advice
}

struct ServerShare {
    1: string server
    2: i32 slotsCenti // concurrent requests that the host may have at the server, in hundredths; if it isn't crowded
    3: bool crowded // requests to the server need a permit
    4: i32 permits // of a crowded server: requests that the host may send beyond those that it reported there
    5: i32 pauseMillis // approximate time until the next permit
}

// An item of the store as written, or its deletion, by other clients.
struct StoreItem {
    1: string key
    2: binary value
    3: i64 revision
    4: bool erased
    5: i32 leftOutBytes // length of the omitted value; 0: the value is included
    6: i32 plainBytes // uncompressed length of the deflated value; 0: the value isn't compressed
    7: i32 ageMillis // since the write, as far as the sender knows
}

struct ItemList {
    1: list<StoreItem> items
}

// A deflated ItemList.
struct PackedItems {
    1: binary value
    2: i32 plainBytes // uncompressed length
    3: i32 ageMillis // since the list was made; adds to the ages of its items
}

// A deflated table.
struct PackedTable {
    1: string serviceName
    2: binary value
    3: i32 plainBytes // uncompressed length
}

// Changes that the coordinator sends to each host that doesn't watch the store itself.
struct News {
    1: i64 afterChange // the items follow this change without a gap
    2: i64 lastChange
    3: list<StoreItem> items
    4: list<string> tables // changes of tables, encoded
    5: list<string> forwardTo // "IP:port" of hosts to which the receiver forwards the message
    6: list<string> crowded // servers that require a permit for each request from now on
    7: i64 crashesEdition // of the two lists that follow; 0: the lists aren't included
    8: list<i64> suspects // as in HostAdvice
    9: list<i64> quarantined // likewise
    10: list<PackedTable> packedTables // whole tables, for hosts that route by an older one
    11: list<PackedItems> packedItems // further items, for hosts that read them
    12: bool urgent // sent ahead of other news, by relays as well
    13: bool isSnapshot // packedItems are all items of the store but the operators' document, as of lastChange
}

// A host that grants slots of backend servers.
struct Broker {
    1: string host
    2: string dataCentre
    3: string address // "IP:port"
}

// A host that serves requests of hosts that reach no server.
struct ForwardTarget {
    1: string host
    2: string dataCentre
    3: string address // "IP:port"
}

struct HostAdvice {
    1: bool coordinates // false: the host that was asked isn't the leader
    2: i64 term
    3: i32 hosts // number of hosts that report
    4: list<ServerShare> shares
    5: list<string> tables // newer ones than the host routes by, encoded
    6: i64 storeSilentMillis // since the store last answered the coordinator
    7: i64 lastChange // revision of the newest write by other clients that the coordinator has seen
    8: bool standsBy // the host watches the leader's key in the store, to take over at once
    9: i32 reportMillis // until the next report
    11: i64 storeRevision // store revision up to which other clients wrote nothing after lastChange
    16: i64 crashesEdition // of the two lists that follow
    12: list<i64> suspects // fingerprints of requests that were at a server when it went away
    13: list<i64> quarantined // fingerprints of requests that no host may send
    14: i64 ratesEdition // of the list of limits in force
    15: list<ServerRate> rates // all of them, unless the host knows this edition
    17: list<PackedTable> packedTables // in place of `tables`, for hosts that read them
    18: bool missedLater // what the host missed is left out, and follows with a later answer
    19: i64 brokersEdition // of the list of brokers; 0: none is planned yet, and the host keeps what it has
    20: list<Broker> brokers // all of them, unless the host knows this edition
    21: i64 forwardTargetsChecksum // of the list that follows; 0: the host keeps what it has
    22: list<ForwardTarget> forwardTargets // for this host; all of them, unless it knows this checksum
    23: i64 rulesRevision // of the newest operators' document that the coordinator knows of; 0: it doesn't say
    24: i32 rulesAgeMillis // since the store last confirmed to the coordinator that there is no newer document
    25: i64 standbysChecksum // of the list that follows; 0: the host keeps what it has
    26: list<string> standbys // "IP:port" of hosts that are asked while no coordinator answers; all of them, unless the host knows this checksum
    28: list<string> answeringHosts // "IP:port" of hosts that are asked when no standby answers; with `standbys`
    29: bool sendsSnapshots // the coordinator sends snapshots to hosts that need one
    30: i64 answeredAt // milliseconds on the coordinator's monotonic clock when it read the report
    27: bool watchesStore // in answers to awaitsCoordinator: the host that was asked watches the store, which answers it
    10: News missed // what follows the change and the tables that the host knows; empty: nothing, or too much
}

service Coordination {
    HostAdvice report(1: HostReport report)
    void adopt(1: News news)
}
