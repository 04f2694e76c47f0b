// Stand-in for one upstream of the users' platform, as PROTOCOL.md describes it: it takes grants and releases, runs a
// request only while it holds the request's key, has a number of slots and a short queue, and answers 503 or 421 with
// X-Not-Executed for what it hasn't run. A thread for each connection. Lives until the process ends.
#pragma once

#include "Http.h"
#include "Record.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace review {

constexpr uint32_t keyCount = 65'536;

struct UpstreamOptions {
    std::string id;
    std::string service;
    std::string zone;
    bool keyed = true;
    unsigned slots = 2;
    unsigned queued = 8;
    int workMillis = 120; // mean; the work of a request is between half of it and one and a half times as much
    uint64_t seed = 1;
};

// What the upstream does wrong at present.
struct UpstreamFaults {
    std::atomic<double> shedShare { 0 }; // of the requests that are refused with 503 and X-Not-Executed
    // Of the answers that are followed by a second copy of themselves, which arrives late: at the point where the next
    // answer on the connection is expected.
    std::atomic<double> extraShare { 0 };
};

// A request that is running.
struct Run {
    std::string id;
    uint32_t key = 0;
};

class Upstream {
public:
    Upstream(UpstreamOptions, Record&);
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    const std::string& id() const { return m_options.id; }
    const std::string& service() const { return m_options.service; }
    uint16_t port() const { return m_listener.port(); }
    std::string entry(bool draining) const; // JSON, for the store
    // Body of the answer to a request.
    void setBody(std::function<std::string(const HttpMessage&)> body) { m_bodyOf = std::move(body); }
    // Called when keys are granted that the upstream didn't hold.
    using GrantHandler = std::function<void(Upstream&, uint32_t first, uint32_t last)>;
    void setOnGrant(GrantHandler handler) { m_onGrant = std::move(handler); }
    // A request that runs now, with a key from `first` to `last`, whose hold would not have run out yet.
    std::optional<Run> runningWithin(uint32_t first, uint32_t last) const;
    uint64_t extrasSent() const { return m_extrasSent; }

    UpstreamFaults faults;

private:
    void acceptAll();
    void serve(int socket);
    HttpMessage answer(const HttpMessage&);
    HttpMessage grant(const HttpMessage&);
    HttpMessage release(const HttpMessage&);
    HttpMessage run(const HttpMessage&);
    HttpMessage refusal(const HttpMessage&, int status) const;
    bool happens(double share);

    UpstreamOptions m_options;
    Record& m_record;
    Listener m_listener;
    std::function<std::string(const HttpMessage&)> m_bodyOf;
    GrantHandler m_onGrant;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::array<uint64_t, keyCount> m_fences {}; // highest epoch number seen
    std::array<int64_t, keyCount> m_holdUntil {}; // 0: released
    std::array<int64_t, keyCount> m_grantedUntil {}; // as m_holdUntil, regardless of releases
    std::map<uint64_t, Run> m_running;
    uint64_t m_nextRun = 1;
    unsigned m_waiting = 0;
    std::mt19937_64 m_random;
    std::atomic<uint64_t> m_extrasSent { 0 };
};

}
