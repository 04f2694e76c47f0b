// A small deployment on loopback: the project's stand-in store and cumindaled as processes of their own, started with
// the command of the deploy file and settings as its template gives them.
#pragma once

#include "Record.h"
#include "Upstream.h"

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

class Deployment {
public:
    // `folder`: for settings and logs; `standinStore`: program of the store. Programs run in the current directory, the
    // root of the repository.
    Deployment(std::string folder, std::string standinStore, Record&);
    ~Deployment(); // ends all processes
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    bool startStore(); // false: it doesn't answer
    void writeConfig(const std::string& document) const;
    void startHost(size_t index); // index: from 0, each once
    void signalHost(size_t index, int signal) const;
    bool hostHasEnded(size_t index); // and removes the ended process
    uint16_t hostPort(size_t index) const { return m_hosts.at(index).callers; }
    size_t hosts() const { return m_hosts.size(); }
    // Registers an upstream and repeats its entry until `draining` is taken back or unregister() is called.
    void registerUpstream(const Upstream&, bool draining = false);
    void unregister(const Upstream&);
    // Whether all hosts answer requests for keys across the whole key space with 200, within `timeoutMillis`.
    bool waitUntilServing(const std::string& hostName, const std::string& path, int timeoutMillis) const;

private:
    struct Host {
        pid_t pid = -1;
        uint16_t callers = 0;
    };

    pid_t start(const std::vector<std::string>& command, const std::string& log);
    void beat() const;
    void writePids() const; // of the processes that run, for run_case.sh
    bool control(std::string_view method, const std::string& target, const std::string& body) const;

    std::string m_folder;
    std::string m_storeProgram;
    Record& m_record;
    uint16_t m_storePort = 0;
    uint16_t m_controlPort = 0;
    std::vector<Host> m_hosts;
    std::vector<pid_t> m_processes;
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_entries; // by key in the store
    std::atomic<bool> m_ended { false };
    std::thread m_heartbeats;
};

}
