// Orders that may run once at most, at upstreams that refuse a part of them (srv_grey, shed) and whose answers are now
// and then followed by a second copy, which arrives late (garble, extra late).
//
// Rules: REFUSED and TWICE.
#include "Case.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace {

using namespace review;

constexpr size_t hosts = 8;
constexpr size_t upstreams = 14;
constexpr size_t clients = 160;
constexpr int pauseMillis = 400; // between two orders of a client
constexpr int rounds = 7;
constexpr int roundMillis = 10'000;
// The largest doses of the standard days.
constexpr double shedShare = 0.55; // of the requests, at all upstreams of the service
constexpr int shedMillis = 8'500;
constexpr double garbledUpstreams = 0.6;
constexpr double extraShare = 0.03; // of their answers
constexpr int garbleMillis = 5'000;

struct Order {
    int runs = 0;
    int status = 0;
};

void sendOrders(Record& record, uint16_t port, size_t client, const std::atomic<bool>& ended)
{
    Client caller(record, port);
    std::mt19937 random(static_cast<unsigned>(client));
    for (int i = 0; !ended; ++i) {
        Request order;
        order.method = "POST";
        order.target = "/claim/file";
        order.id = "order-" + std::to_string(client) + "-" + std::to_string(i);
        order.key = std::uniform_int_distribution<uint32_t>(0, keyCount - 1)(random);
        order.body = "one order";
        caller.ask(order);
        sleepMillis(std::uniform_int_distribution<>(pauseMillis / 2, pauseMillis * 3 / 2)(random));
    }
}

void setFaults(std::list<Upstream>& servers, double shed, double extra)
{
    const auto garbled = static_cast<size_t>(garbledUpstreams * upstreams);
    size_t index = 0;
    for (Upstream& server : servers) {
        server.faults.shedShare = shed;
        server.faults.extraShare = index++ < garbled ? extra : 0;
    }
}

int verdict(const std::string& file)
{
    std::map<std::string, Order> orders;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string time;
        std::string what;
        std::string id;
        words >> time >> what >> id;
        if (!id.starts_with("order-"))
            continue;
        Order& order = orders[id];
        order.runs += what == "began";
        if (what == "answered")
            words >> order.status;
    }
    size_t answered = 0;
    size_t refusedAndRan = 0;
    size_t ranTwice = 0;
    constexpr std::array promises { 408, 421, 429, 503 };
    for (const auto& [id, order] : orders) {
        answered += order.status == 200;
        const bool refused = std::find(promises.begin(), promises.end(), order.status) != promises.end();
        if (refused && order.runs) {
            ++refusedAndRan;
            std::cout << "REFUSED: " << id << " was answered " << order.status << " and ran\n";
        }
        if (order.runs > 1) {
            ++ranTwice;
            std::cout << "TWICE: " << id << " ran " << order.runs << " times\n";
        }
    }
    std::cout << orders.size() << " orders, " << answered << " answered 200, " << refusedAndRan << " refused that ran, "
              << ranTwice << " ran more than once\n";
    if (!answered)
        return couldNotRun;
    return refusedAndRan || ranTwice ? ruleBroken : ruleHeld;
}

int play(const CaseArguments& arguments)
{
    // Not destroyed: connections of the upstreams stay open until the process ends.
    Record& record = *new Record(arguments.record);
    auto& servers = *new std::list<Upstream>;
    Deployment deployment(arguments.folder, arguments.store, record);
    for (size_t i = 0; i < upstreams; ++i) {
        UpstreamOptions options;
        options.id = "i-" + std::to_string(i + 1);
        options.service = "desk";
        options.zone = "zone-" + std::to_string(i % 3 + 1);
        options.seed = i + 1;
        options.workMillis = 60;
        servers.emplace_back(std::move(options), record);
    }
    if (!deployment.startStore())
        return couldNotRun;
    deployment.writeConfig(deskConfig(1));
    for (const Upstream& server : servers)
        deployment.registerUpstream(server);
    for (size_t i = 0; i < hosts; ++i)
        deployment.startHost(i);
    constexpr int startMillis = 25'000;
    if (!deployment.waitUntilServing(deskHost, "/lookup/ready", startMillis))
        return couldNotRun;
    std::atomic<bool> ended { false };
    std::vector<std::thread> callers;
    for (size_t i = 0; i < clients; ++i)
        callers.emplace_back([&, i] { sendOrders(record, deployment.hostPort(i % hosts), i, ended); });
    for (int i = 0; i < rounds; ++i) {
        const int64_t end = nowMillis() + roundMillis;
        if (arguments.trouble) {
            record.write("srv_grey shed and garble extra late begin");
            setFaults(servers, shedShare, extraShare);
            sleepMillis(garbleMillis);
            setFaults(servers, shedShare, 0);
            sleepMillis(shedMillis - garbleMillis);
            setFaults(servers, 0, 0);
            record.write("srv_grey shed and garble extra late are over");
        }
        sleepMillis(end - nowMillis());
    }
    ended = true;
    for (auto& caller : callers)
        caller.join();
    constexpr int runningMillis = 1'000; // until the last orders have ended
    sleepMillis(runningMillis);
    record.flush();
    return ruleHeld;
}

}

int main(int argc, char** argv)
{
    const auto arguments = argumentsOf(argc, argv);
    if (!arguments)
        return couldNotRun;
    int result = play(*arguments);
    if (result == ruleHeld)
        result = verdict(arguments->record);
    std::cout.flush();
    std::_Exit(result);
}
