// What the cases share: their arguments, the exit status and the clients' requests.
#pragma once

#include "Deployment.h"

#include <memory>
#include <optional>
#include <string>

namespace review {

// Exit status of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

struct CaseArguments {
    std::string folder; // temporary, for settings and logs
    std::string store; // program of the stand-in store
    std::string record; // file
    bool trouble = true; // false: without the disruption
};

// No value: usage error. FOLDER STORE RECORD, and TROUBLE in the environment.
std::optional<CaseArguments> argumentsOf(int argc, char** argv);

struct Request {
    std::string method;
    std::string target;
    std::string id;
    uint32_t key = 0;
    int timeLeftMillis = 3'000;
    std::string body;
};

HttpMessage messageOf(const Request&);

// One client with a connection to one host, which it opens anew when it has been closed.
class Client {
public:
    Client(Record& record, uint16_t port)
        : m_record(record)
        , m_port(port)
    {
    }
    int ask(const Request&); // status of the answer; 0: the connection ended without one

private:
    Record& m_record;
    uint16_t m_port;
    std::unique_ptr<HttpConnection> m_connection;
};

void sleepMillis(int64_t millis);

// Routes /lookup/ (safe) and /claim/ (unsafe) of desk.example to the service `desk`, which is divided by key.
std::string deskConfig(int64_t version);
constexpr const char* deskHost = "desk.example";

}
