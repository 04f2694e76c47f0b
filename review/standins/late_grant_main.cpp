// Keys that move between upstreams while the answers of upstreams are now and then followed by a second copy, which
// arrives late (garble, extra late).
//
// Rule: OWNER.
#include "Case.h"

#include <iostream>

namespace {

using namespace review;

constexpr size_t hosts = 4;
constexpr size_t upstreams = 32; // of two services
constexpr size_t clients = 240;
constexpr int pauseMillis = 250; // between two requests of a client
constexpr int rounds = 18;
constexpr int pauseBetweenMillis = 500; // without trouble
constexpr double hotShare = 0.45; // of the requests
constexpr uint32_t hotKeys = 200; // adjacent
constexpr int hotMillis = 3'000; // then others are busy
// The largest doses of the standard days.
constexpr double garbledUpstreams = 0.6;
constexpr double extraShare = 0.03; // of their answers
constexpr int garbleMillis = 5'000;

// Two services that are divided by key.
constexpr const char* config = R"({"version":1,"routes":[
{"name":"lookup","host":"desk.example","path_prefix":"/lookup/","route_type":"safe","timeout_s":1.5,
 "target_latency_s":0.4,"priority":1,"service":"desk","max_attempts":2},
{"name":"archive","host":"desk.example","path_prefix":"/archive/","route_type":"safe","timeout_s":1.5,
 "target_latency_s":0.4,"priority":2,"service":"vault","max_attempts":2}],
"services":[{"name":"desk","health_path":"/health","max_connections":120,"sharded":true},
{"name":"vault","health_path":"/health","max_connections":120,"sharded":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}})";

void sendRequests(
    Record& record, uint16_t port, size_t client, const std::atomic<uint32_t>& hot, const std::atomic<bool>& ended)
{
    Client caller(record, port);
    std::mt19937 random(static_cast<unsigned>(client));
    for (int i = 0; !ended; ++i) {
        Request request;
        request.method = "GET";
        request.target = i % 2 ? "/lookup/history" : "/archive/history";
        request.id = "r-" + std::to_string(client) + "-" + std::to_string(i);
        const bool isHot = std::uniform_real_distribution<>(0, 1)(random) < hotShare;
        request.key = isHot ? (hot + std::uniform_int_distribution<uint32_t>(0, hotKeys - 1)(random)) % keyCount
                            : std::uniform_int_distribution<uint32_t>(0, keyCount - 1)(random);
        caller.ask(request);
        sleepMillis(std::uniform_int_distribution<>(pauseMillis / 2, pauseMillis * 3 / 2)(random));
    }
}

void setExtras(std::list<Upstream>& servers, Record& record, double share)
{
    record.write(share > 0 ? "garble extra late begins" : "garble extra late is over");
    const auto garbled = static_cast<size_t>(garbledUpstreams * upstreams);
    size_t index = 0;
    for (Upstream& server : servers)
        server.faults.extraShare = index++ < garbled ? share : 0;
}

int play(const CaseArguments& arguments)
{
    // Not destroyed: connections of the upstreams stay open until the process ends.
    Record& record = *new Record(arguments.record);
    auto& servers = *new std::list<Upstream>;
    Deployment deployment(arguments.folder, arguments.store, record);
    std::atomic<unsigned> broken { 0 };
    std::atomic<unsigned> moves { 0 };
    for (size_t i = 0; i < upstreams; ++i) {
        UpstreamOptions options;
        options.id = "i-" + std::to_string(i + 1);
        options.service = i % 2 ? "desk" : "vault";
        options.zone = "zone-" + std::to_string(i % 3 + 1);
        options.seed = i + 1;
        options.slots = 4;
        options.queued = 16;
        options.workMillis = 140;
        servers.emplace_back(std::move(options), record);
    }
    for (Upstream& server : servers) {
        server.setOnGrant([&](Upstream& next, uint32_t first, uint32_t last) {
            ++moves;
            for (const Upstream& other : servers) {
                const bool isOther = &other != &next && other.service() == next.service();
                const auto run = isOther ? other.runningWithin(first, last) : std::nullopt;
                if (!run)
                    continue;
                ++broken;
                record.write("OWNER: " + next.id() + " was granted " + std::to_string(first) + " to "
                    + std::to_string(last) + " while " + other.id() + " is at work on " + run->id + " with key "
                    + std::to_string(run->key));
            }
        });
    }
    if (!deployment.startStore())
        return couldNotRun;
    deployment.writeConfig(config);
    for (const Upstream& server : servers)
        deployment.registerUpstream(server);
    for (size_t i = 0; i < hosts; ++i)
        deployment.startHost(i);
    constexpr int startMillis = 25'000;
    if (!deployment.waitUntilServing(deskHost, "/lookup/ready", startMillis))
        return couldNotRun;
    const unsigned initial = moves;
    std::atomic<bool> ended { false };
    std::atomic<uint32_t> hot { 1'000 };
    std::vector<std::thread> callers;
    for (size_t i = 0; i < clients; ++i)
        callers.emplace_back([&, i] { sendRequests(record, deployment.hostPort(i % hosts), i, hot, ended); });
    std::thread changes([&] {
        while (!ended) {
            sleepMillis(hotMillis);
            hot = (hot + 7'919) % keyCount;
        }
    });
    for (int i = 0; i < rounds; ++i) {
        if (arguments.trouble)
            setExtras(servers, record, extraShare);
        sleepMillis(garbleMillis);
        if (arguments.trouble)
            setExtras(servers, record, 0);
        sleepMillis(pauseBetweenMillis);
    }
    ended = true;
    changes.join();
    for (auto& caller : callers)
        caller.join();
    record.flush();
    uint64_t extras = 0;
    for (const Upstream& server : servers)
        extras += server.extrasSent();
    std::cout << moves - initial << " grants of keys that moved, " << extras << " extra answers, " << broken
              << " times two upstreams at work on a key\n";
    if (broken)
        return ruleBroken;
    return moves > initial ? ruleHeld : couldNotRun;
}

}

int main(int argc, char** argv)
{
    const auto arguments = argumentsOf(argc, argv);
    const int result = arguments ? play(*arguments) : couldNotRun;
    std::cout.flush();
    std::_Exit(result);
}
