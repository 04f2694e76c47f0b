#include "Host.h"

#include "Duties.h"
#include "base/Log.h"
#include "base/Ring.h"
#include "callers/CallerServer.h"
#include "control/Control.h"
#include "operators/AdminServer.h"
#include "routing/Router.h"
#include "store/EtcdStore.h"
#include "store/HostList.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <thread>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr size_t maxSpans = 65'536;

    RouterOptions routerOptions(const Settings& settings)
    {
        RouterOptions options;
        options.host = settings.host.name;
        options.maxKeyBytes = settings.limits.keyBytes;
        options.monitor.probeInterval = settings.timing.probeInterval;
        options.monitor.probeTimeout = settings.timing.probeTimeout;
        return options;
    }

    class Host {
    public:
        explicit Host(const Settings& settings)
            : m_toRouting(ringCapacity, [this] { asio::post(m_routingContext, [this] { drainToRouting(); }); })
            , m_toControl(ringCapacity, [this] { asio::post(m_controlContext, [this] { drainToControl(); }); })
            , m_store(m_controlContext.get_executor(), settings.host.store.address, settings.host.store.port)
            , m_hostList(m_controlContext.get_executor(), settings.host.hostList.address, settings.host.hostList.port)
            , m_router(m_routingContext.get_executor(), m_clock, routerOptions(settings), m_metrics, m_spans,
                  [this](RoutingReport report) { m_toControl.push(std::move(report)); })
            , m_callers(m_routingContext.get_executor(), m_clock, settings.host.callers.address,
                  settings.host.callers.port, callerLimits(settings), m_router, m_metrics, settings.host.healthPath)
            , m_controller(m_controlContext.get_executor(), m_clock, settings, m_store, m_hostList, m_metrics, m_board,
                  [this](RoutingUpdate update) { return m_toRouting.push(std::move(update)); })
            , m_operatorStore(m_operatorsContext.get_executor(), settings.host.store.address, settings.host.store.port)
            , m_writer(m_clock, m_operatorStore, m_metrics)
            , m_admin(m_operatorsContext.get_executor(), m_clock, settings, m_writer, m_board, m_metrics, m_spans)
            , m_signals(m_routingContext, SIGTERM, SIGINT)
            , m_shutdownGrace(settings.timing.shutdownGrace)
        {
        }

        int run()
        {
            m_router.start();
            m_controller.start();
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
        void drainToRouting()
        {
            m_toRouting.drain([this](RoutingUpdate update) { m_router.apply(std::move(update)); });
        }

        void drainToControl()
        {
            m_toControl.drain([this](RoutingReport report) { m_controller.onRoutingReport(std::move(report)); });
        }

        void waitForSignal()
        {
            m_signals.async_wait([this](boost::system::error_code error, int) {
                if (error)
                    return;
                // Keep handling signals while draining: a second SIGTERM or SIGINT must not abort requests.
                waitForSignal();
                if (m_draining)
                    return;
                m_draining = true;
                logChange(LogLevel::Info, "host-draining");
                asio::co_spawn(m_routingContext, drain(), asio::detached);
            });
        }

        asio::awaitable<void> drain()
        {
            asio::co_spawn(m_controlContext, m_controller.leave(), asio::detached);
            co_await drainCallers(m_callers, {}, m_clock, m_clock.now() + m_shutdownGrace);
            logChange(LogLevel::Info, "host-stopped");
            m_routingContext.stop();
        }

        SystemClock m_clock;
        Metrics m_metrics;
        SpanLog m_spans { maxSpans };
        StatusBoard m_board;
        asio::io_context m_routingContext { singleThread };
        asio::io_context m_controlContext { singleThread };
        asio::io_context m_operatorsContext { singleThread };
        Ring<RoutingUpdate> m_toRouting;
        Ring<RoutingReport> m_toControl;
        EtcdStore m_store;
        HttpHostList m_hostList;
        Router m_router;
        CallerServer m_callers;
        Control m_controller;
        EtcdStore m_operatorStore;
        ResourceWriter m_writer;
        AdminServer m_admin;
        asio::signal_set m_signals;
        Millis m_shutdownGrace;
        bool m_draining = false;
    };

}

int runHost(const Settings& settings)
{
    startLog(settings.host.name);
    try {
        Host host(settings);
        logChange(LogLevel::Info, "host-started", { { "version", CUMINDALE_VERSION } });
        logCallerLimits(settings);
        return host.run();
    } catch (const boost::system::system_error& error) {
        logChange(LogLevel::Error, "host-failed", { { "why", error.what() } });
        return 1;
    }
}

}
