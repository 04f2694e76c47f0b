#include "GatewayHost.h"

#include "Duties.h"
#include "base/Log.h"
#include "base/Ring.h"
#include "gateway/Gateway.h"
#include "gateway/GatewayControl.h"
#include "platform/Dialect.h"
#include "resources/QuarantineCodec.h"
#include "web/HttpServer.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    // The load balancer checks readiness once a second and removes a host after two failures. A draining host accepts
    // connections for that long and then closes idle ones.
    constexpr DrainTiming gatewayDrain { Millis(2'200), Millis(600) };

    GatewayOptions gatewayOptions(const Settings& settings)
    {
        GatewayOptions options;
        options.host = settings.host.name;
        options.dataCentre = settings.host.dataCentre;
        options.settings = *settings.gateway;
        return options;
    }

    class GatewayHost {
    public:
        GatewayHost(const Settings& settings, const PlatformAdapter& adapter, std::string file)
            : m_settings(settings)
            , m_adapter(adapter)
            , m_file(std::move(file))
            , m_toRouting(ringCapacity, [this] { asio::post(m_routing, [this] { drainToRouting(); }); })
            , m_toControl(ringCapacity, [this] { asio::post(m_control, [this] { drainToControl(); }); })
            , m_store(
                  adapter.makeStore(m_control.get_executor(), settings.host.store.address, settings.host.store.port))
            , m_gateway(
                  m_routing.get_executor(), m_clock, adapter, gatewayOptions(settings), m_metrics,
                  [this](GatewayReport report) { m_toControl.push(std::move(report)); },
                  [this](const CallerBounds& bounds) { applyBounds(bounds); })
            , m_callers(m_routing.get_executor(), m_clock, settings.host.callers.address, settings.host.callers.port,
                  callerLimits(settings.limits), m_gateway, m_metrics)
            , m_controlDuty(m_control.get_executor(), m_clock, settings, adapter, *m_store, m_metrics,
                  [this](GatewayUpdate update) { return m_toRouting.push(std::move(update)); })
            , m_readiness(m_operators.get_executor(), settings.gateway->readiness.address,
                  settings.gateway->readiness.port,
                  [this](const ServedRequest& request, boost::beast::tcp_stream&) {
                      return answerReadiness(std::string(request.target()));
                  })
            , m_admin(m_operators.get_executor(), settings.host.operators.address, settings.host.operators.port,
                  [this](const ServedRequest& request, boost::beast::tcp_stream&) { return answerOperator(request); })
            , m_signals(m_routing, SIGTERM, SIGINT, SIGHUP)
        {
        }

        int run()
        {
            m_gateway.start();
            m_controlDuty.start();
            waitForSignal();
            std::thread control([this] { runDuty(m_control); });
            std::thread operators([this] { runDuty(m_operators); });
            runDuty(m_routing);
            m_control.stop();
            m_operators.stop();
            control.join();
            operators.join();
            return 0;
        }

    private:
        asio::awaitable<std::optional<ServedResponse>> answerReadiness(std::string target)
        {
            if (target != m_adapter.readinessPath())
                co_return makeResponse(404, "{}");
            co_return makeResponse(m_ready ? 200 : 503, m_ready ? "{\"ready\":true}" : "{\"ready\":false}");
        }

        asio::awaitable<std::optional<ServedResponse>> answerOperator(const ServedRequest& request)
        {
            const Target target = parseTarget(std::string(request.target()));
            const std::string& path = target.path;
            if (path == "/metrics")
                co_return makeResponse(200, m_metrics.text(), "text/plain");
            if (path == "/status")
                co_return makeResponse(200, co_await asio::co_spawn(m_control, status(), asio::use_awaitable));
            if (path == "/v1/quarantine")
                co_return co_await answerQuarantine(request, target);
            co_return makeResponse(404, "{}");
        }

        // GET lists quarantined requests. DELETE releases the one in the query parameter `request`.
        asio::awaitable<std::optional<ServedResponse>> answerQuarantine(const ServedRequest& request, Target target)
        {
            if (request.method() == boost::beast::http::verb::get)
                co_return makeResponse(200, co_await asio::co_spawn(m_control, quarantine(), asio::use_awaitable));
            const std::string& token = m_settings.host.operatorToken;
            if (!token.empty() && request[boost::beast::http::field::authorization] != "Bearer " + token)
                co_return makeResponse(401, "{\"error\":\"operator token required\"}\n");
            const auto fingerprint = fingerprintIn(target.parameter("request"));
            if (request.method() != boost::beast::http::verb::delete_ || !fingerprint)
                co_return makeResponse(400, "{\"error\":\"request: must be 16 hexadecimal digits\"}\n");
            asio::post(m_control, [this, fingerprint] { m_controlDuty.releaseFromQuarantine(*fingerprint); });
            co_return makeResponse(200, "{}\n");
        }

        asio::awaitable<std::string> quarantine() { co_return m_controlDuty.quarantineText(); }

        // Runs on the control thread, which owns the state.
        asio::awaitable<std::string> status() { co_return m_controlDuty.statusText(); }

        void drainToRouting()
        {
            m_toRouting.drain([this](GatewayUpdate update) { m_gateway.apply(std::move(update)); });
            m_ready = m_gateway.ready() && !m_draining;
        }

        void drainToControl()
        {
            m_toControl.drain([this](GatewayReport report) { m_controlDuty.onRoutingReport(std::move(report)); });
        }

        void applyBounds(const CallerBounds& bounds)
        {
            CallerLimits limits = callerLimits(m_settings.limits);
            limits.headerBytes = bounds.headerBytes;
            limits.headerTimeout = bounds.headerTimeout;
            // Callers may send a request until the idle limit. Closing the connection exactly then could race with one.
            constexpr Millis crossing { 1'000 };
            limits.idleTimeout = bounds.idleTimeout + crossing;
            m_callers.setLimits(limits);
        }

        void waitForSignal()
        {
            m_signals.async_wait([this](boost::system::error_code error, int signal) {
                if (error)
                    return;
                // Keep handling signals while draining: a second SIGTERM or SIGINT must not abort requests.
                waitForSignal();
                if (signal == SIGHUP) {
                    logChange(LogLevel::Info, "settings-reload", { { "file", m_file } });
                    return;
                }
                if (m_draining)
                    return;
                m_draining = true;
                m_ready = false;
                logChange(LogLevel::Info, "host-draining", { { "connections", m_callers.connections() } });
                asio::co_spawn(m_routing, drain(), asio::detached);
            });
        }

        asio::awaitable<void> drain()
        {
            constexpr Millis beforeTheEnd {
                500
            }; // the process is killed when the grace period ends; the last log lines must be written before
            const Instant until = m_clock.now() + m_settings.gateway->grace - beforeTheEnd;
            asio::co_spawn(m_control, m_controlDuty.leave(until), [this](std::exception_ptr) { m_left = true; });
            co_await finishCallers(m_callers, gatewayDrain);
            constexpr Millis look { 20 };
            while (!m_left && m_clock.now() < until)
                co_await sleepFor(look);
            logChange(LogLevel::Info, "host-stopped");
            m_routing.stop();
        }

        const Settings& m_settings;
        const PlatformAdapter& m_adapter;
        std::string m_file;
        SystemClock m_clock;
        Metrics m_metrics;
        asio::io_context m_routing { singleThread };
        asio::io_context m_control { singleThread };
        asio::io_context m_operators { singleThread };
        Ring<GatewayUpdate> m_toRouting;
        Ring<GatewayReport> m_toControl;
        std::unique_ptr<Store> m_store;
        Gateway m_gateway;
        CallerServer m_callers;
        GatewayControl m_controlDuty;
        HttpServer m_readiness;
        HttpServer m_admin;
        asio::signal_set m_signals;
        std::atomic<bool> m_ready { false };
        std::atomic<bool> m_left { false }; // set while draining, when GatewayControl::leave has finished
        bool m_draining = false;
    };

}

int runGatewayHost(const Settings& settings, const std::string& file)
{
    startLog(settings.host.name);
    try {
        const Dialect dialect;
        GatewayHost host(settings, dialect, file);
        logChange(LogLevel::Info, "host-started", { { "version", CUMINDALE_VERSION } });
        return host.run();
    } catch (const boost::system::system_error& error) {
        logChange(LogLevel::Error, "host-failed", { { "why", error.what() } });
        return 1;
    }
}

}
