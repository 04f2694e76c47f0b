#include "Deployment.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int heartbeatMillis = 500;

    void sleepMillis(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

    // Of consecutive ports that are free at present.
    uint16_t freePorts(unsigned count)
    {
        constexpr uint16_t least = 20'000;
        constexpr uint16_t range = 10'000;
        for (;;) {
            const auto first = static_cast<uint16_t>(least + freePort() % range);
            bool allFree = true;
            for (unsigned i = 0; i < count && allFree; ++i) {
                const int used = connectTo(static_cast<uint16_t>(first + i));
                allFree = used < 0;
                if (used >= 0)
                    ::close(used);
            }
            if (allFree)
                return first;
        }
    }

}

Deployment::Deployment(std::string folder, std::string standinStore, Record& record)
    : m_folder(std::move(folder))
    , m_storeProgram(std::move(standinStore))
    , m_record(record)
    , m_heartbeats([this] { beat(); })
{
}

Deployment::~Deployment()
{
    m_ended = true;
    m_heartbeats.join();
    for (const pid_t pid : m_processes)
        ::kill(pid, SIGKILL);
    for (const pid_t pid : m_processes)
        ::waitpid(pid, nullptr, 0);
    m_processes.clear();
    writePids();
}

void Deployment::writePids() const
{
    std::ofstream file(m_folder + "/pids");
    for (const pid_t pid : m_processes)
        file << pid << '\n';
}

pid_t Deployment::start(const std::vector<std::string>& command, const std::string& log)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const std::string file = m_folder + "/" + log;
    const pid_t pid = ::fork();
    if (pid) {
        m_processes.push_back(pid);
        writePids();
        return pid;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    std::_Exit(127);
}

// --- Store

bool Deployment::control(std::string_view method, const std::string& target, const std::string& body) const
{
    const int socket = connectTo(m_controlPort);
    if (socket < 0)
        return false;
    HttpConnection connection(socket);
    HttpMessage request = makeRequest(method, target, body);
    request.headers.emplace_back("Host", "store");
    constexpr int timeoutMillis = 2'000;
    return connection.write(request.text()) && connection.read(timeoutMillis);
}

bool Deployment::startStore()
{
    m_storePort = freePorts(2);
    m_controlPort = static_cast<uint16_t>(m_storePort + 1);
    start({ m_storeProgram, "--port", std::to_string(m_storePort), "--control_port", std::to_string(m_controlPort) },
        "store.log");
    for (int i = 0; i < 100; ++i) {
        if (control("GET", "/item?key=none", {}))
            return true;
        sleepMillis(50);
    }
    return false;
}

void Deployment::writeConfig(const std::string& document) const { control("PUT", "/item?key=op/config", document); }

void Deployment::registerUpstream(const Upstream& upstream, bool draining)
{
    const std::string key = "servers/" + upstream.id();
    const std::string entry = upstream.entry(draining);
    {
        const std::lock_guard lock(m_mutex);
        m_entries[key] = entry;
    }
    if (draining)
        m_record.write("draining " + upstream.id());
    control("PUT", "/beat?key=" + key, entry);
}

void Deployment::unregister(const Upstream& upstream)
{
    const std::string key = "servers/" + upstream.id();
    {
        const std::lock_guard lock(m_mutex);
        m_entries.erase(key);
    }
    control("DELETE", "/item?key=" + key, {});
}

void Deployment::beat() const
{
    while (!m_ended) {
        decltype(m_entries) entries;
        {
            const std::lock_guard lock(m_mutex);
            entries = m_entries;
        }
        for (const auto& [key, entry] : entries)
            control("PUT", "/beat?key=" + key, entry);
        sleepMillis(heartbeatMillis);
    }
}

// --- Hosts

void Deployment::startHost(size_t index)
{
    m_hosts.resize(std::max(m_hosts.size(), index + 1));
    const uint16_t first = freePorts(5); // callers, readiness, peers, peers' forwarded requests, operators
    const std::string name = "edge-" + std::to_string(index + 1);
    const std::string file = m_folder + "/" + name + ".json";
    const auto endpoint = [&](unsigned offset) { return "\"127.0.0.1:" + std::to_string(first + offset) + "\""; };
    std::ofstream(file) << "{\"host\":{\"name\":\"" << name << "\",\"dataCentre\":\"zone-" << index % 3 + 1
                        << "\",\"callers\":" << endpoint(0) << ",\"peers\":" << endpoint(2)
                        << ",\"operators\":" << endpoint(4) << ",\"store\":\"127.0.0.1:" << m_storePort
                        << "\"},\"gateway\":{\"platform\":\"metadata-store\",\"readiness\":" << endpoint(1)
                        << ",\"strength\":0.2,\"memoryMegabytes\":260,\"longestHoldSeconds\":10,"
                           "\"shortestLeaseSeconds\":1,\"leaveWithinSeconds\":2,\"rulesWithinSeconds\":2,"
                           "\"graceSeconds\":6,\"retryRatio\":0.2,\"retrySlack\":60,\"forwardPortOffset\":1}}\n";
    m_hosts[index].callers = first;
    m_hosts[index].pid = start({ "target/bin/cumindaled", "--settings", file }, name + ".log");
}

void Deployment::signalHost(size_t index, int signal) const
{
    m_record.write("signal " + std::to_string(signal) + " to edge-" + std::to_string(index + 1));
    ::kill(m_hosts.at(index).pid, signal);
}

bool Deployment::hostHasEnded(size_t index)
{
    const pid_t pid = m_hosts.at(index).pid;
    if (::waitpid(pid, nullptr, WNOHANG) != pid)
        return false;
    std::erase(m_processes, pid);
    writePids();
    return true;
}

bool Deployment::waitUntilServing(const std::string& hostName, const std::string& path, int timeoutMillis) const
{
    const int64_t until = nowMillis() + timeoutMillis;
    constexpr uint32_t samples = 8;
    for (size_t index = 0; index < m_hosts.size(); ++index) {
        for (uint32_t i = 0; i < samples;) {
            if (nowMillis() >= until)
                return false;
            HttpMessage request = makeRequest("GET", path);
            request.headers.emplace_back("Host", hostName);
            request.headers.emplace_back("X-Request-Id", "ready-" + std::to_string(index) + "-" + std::to_string(i));
            request.headers.emplace_back("X-Request-Deadline-Ms", "1000");
            request.headers.emplace_back("X-Shard-Key", std::to_string(i * keyCount / samples));
            const int socket = connectTo(m_hosts[index].callers);
            bool served = false;
            if (socket >= 0) {
                HttpConnection connection(socket);
                constexpr int answerMillis = 1'500;
                const auto response = connection.write(request.text()) ? connection.read(answerMillis) : std::nullopt;
                served = response && response->status() == 200;
            }
            if (served)
                ++i;
            else
                sleepMillis(100);
        }
    }
    return true;
}

}
