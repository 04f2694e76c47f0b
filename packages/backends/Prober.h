// Probes the health endpoint of one backend server periodically and reports the outcomes to a ServerMonitor.
//
// Any response counts as a success. Its status and body are ignored, because what health endpoints report lags or
// misleads.
#pragma once

#include "base/Time.h"
#include "decisions/ServerHealth.h"
#include "web/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace cumindale {

class Prober : public std::enable_shared_from_this<Prober> {
public:
    // `onChange` is called after each probe that changed the monitor's reachability or whether the server accepts new
    // work. Call stop() before the monitor is destroyed.
    Prober(boost::asio::any_io_executor, const Clock&, std::string ownHost, std::string address, uint16_t port,
        MonitorOptions, ServerMonitor&, std::function<void()> onChange);
    void start();
    void stop() { m_stopped = true; }

private:
    boost::asio::awaitable<void> run(std::shared_ptr<Prober> self);
    boost::asio::awaitable<void> probe();

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    std::string m_ownHost; // sent with each probe
    std::string m_address;
    uint16_t m_port;
    MonitorOptions m_options;
    ServerMonitor& m_monitor;
    std::function<void()> m_onChange;
    std::unique_ptr<HttpClient> m_client;
    bool m_stopped = false;
};

}
