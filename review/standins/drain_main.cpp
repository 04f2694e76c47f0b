// Clients that send a further safe request before the first one has been answered, at a host that is stopped by
// SIGTERM.
//
// Rule: LOST, around planned work.
#include "Case.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using namespace review;

constexpr size_t hosts = 3;
constexpr size_t upstreams = 6;
constexpr size_t connections = 20; // to the host that is stopped
constexpr size_t bodyBytes = 30'000; // the largest answer to a lookup at the small sites
// Windows are small on the users' links. With the kernel's default on loopback the whole answer would be under way at
// once.
constexpr int receiveBufferBytes = 4'096;
constexpr int betweenMillis = 30; // from the first request to the one behind it; the first one takes 60 ms or more
constexpr int timeLeftMillis = 2'500;
constexpr int routeTimeoutMillis = 1'500;
constexpr int graceMillis = 6'000;

struct Outcome {
    int first = 0; // status; 0: no complete answer
    size_t bytes = 0; // received
    int64_t millis = 0; // from the request to the end of its answer or of the connection
};

Request lookup(const std::string& id, size_t connection)
{
    Request request;
    request.method = "GET";
    request.target = "/lookup/history";
    request.id = id;
    request.key = static_cast<uint32_t>(connection * keyCount / connections);
    request.timeLeftMillis = timeLeftMillis;
    return request;
}

// One request before the stop, so that the connection is a kept one; then two, of which the second is sent before the
// first one is answered.
Outcome useConnection(Record& record, uint16_t port, size_t number, const std::atomic<bool>& signalled)
{
    HttpConnection connection(connectTo(port, receiveBufferBytes));
    const std::string name = std::to_string(number);
    const auto send = [&](const std::string& id) {
        record.write("sent " + id);
        return connection.write(messageOf(lookup(id, number)).text());
    };
    const auto receive = [&](const std::string& id) {
        const auto response = connection.read(timeLeftMillis);
        const int status = response ? response->status() : 0;
        record.write("answered " + id + " " + std::to_string(status)
            + (response ? " connection " + std::string(response->header("Connection")) : " incomplete"));
        return status;
    };
    if (!send("before-" + name) || receive("before-" + name) != 200)
        return { -1, 0 };
    while (!signalled)
        sleepMillis(1);
    sleepMillis(static_cast<int64_t>(100 + number * 50)); // the host has seen the signal
    const size_t before = connection.bytesRead();
    const int64_t sentAt = nowMillis();
    if (!send("first-" + name))
        return { -1, 0 };
    sleepMillis(betweenMillis);
    send("behind-" + name);
    Outcome outcome;
    outcome.first = receive("first-" + name);
    outcome.bytes = connection.bytesRead() - before;
    outcome.millis = nowMillis() - sentAt;
    return outcome;
}

// Whether an upstream has run the request to its end, so that the host had been sent the whole answer.
bool hasRun(const std::string& file, const std::string& id)
{
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        if (line.find(" ended " + id + " ") != std::string::npos)
            return true;
    }
    return false;
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
        servers.emplace_back(std::move(options), record).setBody([](const HttpMessage&) {
            return std::string(bodyBytes, 'x');
        });
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
    std::atomic<bool> signalled { false };
    std::vector<Outcome> outcomes(connections);
    std::vector<std::thread> clients;
    for (size_t i = 0; i < connections; ++i)
        clients.emplace_back([&, i] { outcomes[i] = useConnection(record, deployment.hostPort(0), i, signalled); });
    constexpr int warmUpMillis = 3'000;
    sleepMillis(warmUpMillis);
    const int64_t stoppedAt = nowMillis();
    if (arguments.trouble)
        deployment.signalHost(0, SIGTERM);
    signalled = true;
    for (auto& client : clients)
        client.join();
    const int64_t took = nowMillis() - stoppedAt;
    record.flush();
    size_t complete = 0;
    size_t lost = 0;
    for (size_t i = 0; i < connections; ++i) {
        complete += outcomes[i].first == 200;
        // Not counted: the time of the request or of its route was over, or it wasn't passed on.
        const bool inTime = outcomes[i].millis < std::min(timeLeftMillis, routeTimeoutMillis);
        if (outcomes[i].first || !inTime || !hasRun(arguments.record, "first-" + std::to_string(i)))
            continue;
        ++lost;
        std::cout << "LOST: first-" << i << " ended after " << outcomes[i].bytes << " bytes of its answer\n";
    }
    std::cout << connections << " connections, " << complete << " first requests answered completely, " << lost
              << " lost, within " << took << " ms of the signal\n";
    if (lost && took < graceMillis)
        return ruleBroken;
    return complete == connections ? ruleHeld : couldNotRun;
}

}

int main(int argc, char** argv)
{
    const auto arguments = argumentsOf(argc, argv);
    const int result = arguments ? play(*arguments) : couldNotRun;
    std::cout.flush();
    std::_Exit(result);
}
