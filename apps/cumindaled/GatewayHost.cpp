#include "GatewayHost.h"

#include "Duties.h"
#include "base/Log.h"
#include "base/Ring.h"
#include "gateway/ForwardHeaders.h"
#include "gateway/ForwardedRequestHandler.h"
#include "gateway/Gateway.h"
#include "gateway/GatewayControl.h"
#include "platform/Dialect.h"
#include "resources/QuarantineCodec.h"
#include "web/HttpServer.h"
#include "web/LoopMonitor.h"

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
    constexpr DrainTiming gatewayDrainTiming { Millis(2'200), Millis(600) };

    GatewayOptions gatewayOptions(const Settings& settings)
    {
        GatewayOptions options;
        options.host = settings.host.name;
        options.dataCentre = settings.host.dataCentre;
        options.peers = settings.host.peers;
        options.settings = *settings.gateway;
        // The rest of the memory for responses is for those that callers haven't taken yet. A growing body takes up to
        // twice its size while it is copied.
        options.responseMemory = callerLimits(settings).responseMemory / 2;
        return options;
    }

    class GatewayHost {
    public:
        GatewayHost(const Settings& settings, const PlatformAdapter& adapter, std::string file)
            : m_settings(settings)
            , m_adapter(adapter)
            , m_file(std::move(file))
            , m_toRouting(ringCapacity, [this] { asio::post(m_routingContext, [this] { drainToRouting(); }); })
            , m_toControl(ringCapacity, [this] { asio::post(m_controlContext, [this] { drainToControl(); }); })
            , m_store(adapter.makeStore(
                  m_controlContext.get_executor(), settings.host.store.address, settings.host.store.port))
            , m_gateway(
                  m_routingContext.get_executor(), m_clock, adapter, gatewayOptions(settings), m_metrics,
                  [this](GatewayReport report) { m_toControl.push(std::move(report)); },
                  [this](const CallerBounds& bounds) { applyBounds(bounds); })
            , m_callers(m_routingContext.get_executor(), m_clock, settings.host.callers.address,
                  settings.host.callers.port, callerLimits(settings), m_gateway, m_metrics)
            , m_forwardedHandler(m_gateway)
            , m_forwarded(makeForwardedServer())
            , m_controller(m_controlContext.get_executor(), m_clock, settings, adapter, *m_store, m_metrics,
                  [this](GatewayUpdate update) { return m_toRouting.push(std::move(update)); })
            , m_readiness(
                  m_operatorsContext.get_executor(), settings.gateway->readiness.address,
                  settings.gateway->readiness.port,
                  [this](const ServedRequest& request, boost::beast::tcp_stream&) {
                      return handleReadiness(std::string(request.target()));
                  },
                  controlLimits)
            , m_admin(
                  m_operatorsContext.get_executor(), settings.host.operators.address, settings.host.operators.port,
                  [this](const ServedRequest& request, boost::beast::tcp_stream&) {
                      return handleOperatorRequest(request);
                  },
                  controlLimits)
            , m_signals(m_routingContext, SIGTERM, SIGINT, SIGHUP)
        {
        }

        int run()
        {
            m_gateway.start();
            m_controller.start();
            startLoopMonitor(m_routingContext.get_executor(), m_clock, m_metrics.distribution("routing_loop_delay"));
            startLoopMonitor(m_controlContext.get_executor(), m_clock, m_metrics.distribution("control_loop_delay"));
            waitForSignal();
            std::thread control([this] { runEventLoop(m_controlContext); });
            std::thread operators([this] { runEventLoop(m_operatorsContext); });
            runEventLoop(m_routingContext);
            m_controlContext.stop();
            m_operatorsContext.stop();
            control.join();
            operators.join();
            return 0;
        }

    private:
        std::unique_ptr<CallerServer> makeForwardedServer()
        {
            const unsigned portOffset = m_settings.gateway->forwardPortOffset;
            if (!portOffset)
                return nullptr;
            const Endpoint& peers = m_settings.host.peers;
            return std::make_unique<CallerServer>(m_routingContext.get_executor(), m_clock, peers.address,
                static_cast<uint16_t>(peers.port + portOffset), forwardLimits(callerLimits(m_settings)),
                m_forwardedHandler, m_metrics);
        }

        asio::awaitable<std::optional<ServedResponse>> handleReadiness(std::string target)
        {
            if (target != m_adapter.readinessPath())
                co_return makeResponse(404, "{}");
            co_return makeResponse(m_ready ? 200 : 503, m_ready ? "{\"ready\":true}" : "{\"ready\":false}");
        }

        asio::awaitable<std::optional<ServedResponse>> handleOperatorRequest(const ServedRequest& request)
        {
            const Target target = parseTarget(std::string(request.target()));
            const std::string& path = target.path;
            if (path == "/metrics")
                co_return makeResponse(200, m_metrics.text(), "text/plain");
            if (path == "/status")
                co_return makeResponse(200, co_await asio::co_spawn(m_controlContext, status(), asio::use_awaitable));
            if (path == "/v1/slots")
                co_return makeResponse(200, co_await asio::co_spawn(m_routingContext, slots(), asio::use_awaitable));
            if (path == "/v1/quarantine")
                co_return co_await handleQuarantine(request, target);
            co_return makeResponse(404, "{}");
        }

        // GET lists quarantined requests. DELETE releases the one in the query parameter `request`.
        asio::awaitable<std::optional<ServedResponse>> handleQuarantine(const ServedRequest& request, Target target)
        {
            if (request.method() == boost::beast::http::verb::get)
                co_return makeResponse(
                    200, co_await asio::co_spawn(m_controlContext, quarantine(), asio::use_awaitable));
            const std::string& token = m_settings.host.operatorToken;
            if (!token.empty() && request[boost::beast::http::field::authorization] != "Bearer " + token)
                co_return makeResponse(401, "{\"error\":\"operator token required\"}\n");
            const auto fingerprint = parseFingerprint(target.parameter("request"));
            if (request.method() != boost::beast::http::verb::delete_ || !fingerprint)
                co_return makeResponse(400, "{\"error\":\"request: must be 16 hexadecimal digits\"}\n");
            asio::post(m_controlContext, [this, fingerprint] { m_controller.releaseFromQuarantine(*fingerprint); });
            co_return makeResponse(200, "{}\n");
        }

        asio::awaitable<std::string> quarantine() { co_return m_controller.quarantineText(); }

        // Runs on the routing thread, which owns the state.
        asio::awaitable<std::string> slots() { co_return m_gateway.slotsText(); }

        // Runs on the control thread, which owns the state.
        asio::awaitable<std::string> status() { co_return m_controller.statusText(); }

        void drainToRouting()
        {
            m_toRouting.drain([this](GatewayUpdate update) { m_gateway.apply(std::move(update)); });
            m_ready = m_gateway.ready() && !m_draining;
        }

        void drainToControl()
        {
            m_toControl.drain([this](GatewayReport report) { m_controller.onRoutingReport(std::move(report)); });
        }

        void applyBounds(const CallerBounds& bounds)
        {
            const CallerLimits limits = callerLimits(m_settings, bounds);
            m_callers.setLimits(limits);
            if (m_forwarded)
                m_forwarded->setLimits(forwardLimits(limits));
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
                asio::co_spawn(m_routingContext, drain(), asio::detached);
            });
        }

        asio::awaitable<void> drain()
        {
            // The process is killed when the grace period ends; the last log lines must be written before.
            constexpr Millis killMargin { 500 };
            const Instant until = m_clock.now() + m_settings.gateway->shutdownGrace - killMargin;
            m_gateway.stopBy(until);
            asio::co_spawn(
                m_controlContext, m_controller.leave(until), [this](std::exception_ptr) { m_leaveFinished = true; });
            if (m_forwarded)
                m_forwarded->startDraining(); // other hosts forward elsewhere after the next response
            co_await drainCallers(m_callers, gatewayDrainTiming, m_clock, until);
            if (m_forwarded)
                co_await drainForwarded(*m_forwarded, m_clock, until);
            constexpr Millis pollInterval { 20 };
            while (!m_leaveFinished && m_clock.now() < until)
                co_await sleepFor(pollInterval);
            logChange(LogLevel::Info, "host-stopped");
            m_routingContext.stop();
        }

        const Settings& m_settings;
        const PlatformAdapter& m_adapter;
        std::string m_file;
        SystemClock m_clock;
        Metrics m_metrics;
        asio::io_context m_routingContext { singleThread };
        asio::io_context m_controlContext { singleThread };
        asio::io_context m_operatorsContext { singleThread };
        Ring<GatewayUpdate> m_toRouting;
        Ring<GatewayReport> m_toControl;
        std::unique_ptr<Store> m_store;
        Gateway m_gateway;
        CallerServer m_callers;
        ForwardedRequestHandler m_forwardedHandler;
        std::unique_ptr<CallerServer> m_forwarded; // null: this host takes no forwarded requests
        GatewayControl m_controller;
        HttpServer m_readiness;
        HttpServer m_admin;
        asio::signal_set m_signals;
        std::atomic<bool> m_ready { false };
        std::atomic<bool> m_leaveFinished { false }; // set while draining, when GatewayControl::leave has finished
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
        logCallerLimits(settings);
        return host.run();
    } catch (const boost::system::system_error& error) {
        logChange(LogLevel::Error, "host-failed", { { "why", error.what() } });
        return 1;
    }
}

}
