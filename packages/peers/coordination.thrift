// From every host to the one that coordinates the owners of keys, and back. Framed transport, compact protocol.
// The generated code in gen/ is committed; after a change run `make thrift`.
namespace cpp cumindale.wire

struct KeyUse {
    1: i32 key
    2: i32 busyMicros // of server time, since the last report
}

struct ServiceUse {
    1: string serviceName
    2: list<KeyUse> keys
    3: i64 term // of the table that the host routes by
    4: i64 edition
}

struct ServerUse {
    1: string server
    2: i32 inFlightCenti // mean number of requests there at once, in hundredths
    3: i32 waitingCenti // mean number of requests that wait here for it, in hundredths
    4: i32 workMicros // mean time of one request; 0: none ended
    5: i32 present // requests there at the moment
    6: i32 waitingNow // requests that wait here for it at the moment
    7: i32 overdue // of those there: without an answer for several times the usual work
}

// Requests that were at a server when it went away, by fingerprint.
struct ServerCrash {
    1: string server
    2: list<i64> requests
}

// What a server said in an answer of the requests that it takes.
struct ServerRate {
    1: string server
    2: bool limited // false: it names no limit any more
    3: double perSecond // from all hosts together, where limited
    4: i32 ageMillis // since it said so
}

struct HostReport {
    1: string sender
    2: string address // "IP:port" where the sender answers
    4: list<ServiceUse> services
    5: list<ServerUse> servers
    7: i64 lastChange // revision of the newest write of others that the host knows of
    8: i32 strengthCenti // processor time that the host has, in hundredths of a core
    9: string dataCentre
    10: list<ServerCrash> crashes // since the last report
    11: list<i64> answered // suspects that a server has answered since
    12: list<i64> released // from quarantine, by an operator
    13: list<string> leaving // servers that say so in their answers and whose entries don't
    14: list<ServerRate> rates // said lately
    15: i64 ratesKnown // edition of the coordinator's list of limits
}

struct ServerShare {
    1: string server
    2: i32 slotsCenti // requests that the host may have there at once, in hundredths; where it isn't crowded
    3: bool crowded // nothing goes there without a permit
    4: i32 permits // of a crowded server: requests that the host may send beyond those that it said are there
    5: i32 pauseMillis // until the next permit, about
}

// An item of the store as it was written by others, or its erasure.
struct StoreItem {
    1: string key
    2: binary value
    3: i64 revision
    4: bool erased
    5: i32 leftOutBytes // the value is left out, and is so long; 0: it is here
    6: i32 plainBytes // the value is deflated, from so many bytes; 0: it is as written
}

// What has changed, from the coordinator to each host that doesn't follow the store itself.
struct News {
    1: i64 afterChange // the items follow this change without a gap
    2: i64 lastChange
    3: list<StoreItem> items
    4: list<string> tables // changes of tables, encoded
    5: list<string> forwardTo // "IP:port" of hosts to which the receiver passes the rest on
    6: list<string> crowded // servers to which nothing goes without a permit from now on
    7: i64 crashesEdition // of the two lists that follow; 0: they are not told
    8: list<i64> suspects // as in HostAdvice
    9: list<i64> quarantined // likewise
}

struct HostAdvice {
    1: bool coordinates // false: the host that was asked doesn't hold the office
    2: i64 term
    3: i32 hosts // that report
    4: list<ServerShare> shares
    5: list<string> tables // newer ones than the host routes by, encoded
    6: i64 storeSilentMillis // since the store last answered the coordinator
    7: i64 lastChange // revision of the newest write of others that the coordinator has seen
    8: bool standsBy // the host is to follow the store itself, to take over at once
    9: i32 reportMillis // until the next report
    11: i64 storeRevision // of the store: up to it there is no write of others after lastChange
    16: i64 crashesEdition // of the two lists that follow
    12: list<i64> suspects // fingerprints of requests that were at a server when it went away
    13: list<i64> quarantined // of requests that no host is to send
    14: i64 ratesEdition // of the list of limits in force
    15: list<ServerRate> rates // all of them, unless the host knows this edition
    10: News missed // what follows the change and the tables that the host knows; empty: nothing, or too much
}

service Coordination {
    HostAdvice report(1: HostReport report)
    void adopt(1: News news)
}
