/** @file roster_daemon.cpp A whole daemon whose keys are owned by leases of the store: start and planned stop. */
#include "roster_daemon.h"

#include "log_func.h"
#include "roster_control.h"
#include "traffic_start.h"

#include <boost/asio/signal_set.hpp>

namespace quetzalspool {

namespace {

/** Everything that lives as long as the daemon. */
struct roster_process
{
    daemon_shared shared; ///< Shared state.
    traffic_threads traffic; ///< Traffic threads.
    roster_control
        control; ///< Control thread; destroyed first, since its pending responses refer to the traffic threads.
};

/** Waits for the stop notice, then completes the requests in flight. */
asio::awaitable<void> finishStop(roster_process &process)
{
    co_await sleepFor(process.shared.settings.roster->stopNotice);
    co_await drainTraffic(process.shared, process.traffic);
    process.control.context.stop();
}

asio::awaitable<void> awaitSignals(roster_process &process)
{
    asio::signal_set signals(process.control.context, SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        error_code code;
        const int signal = co_await signals.async_wait(redirectError(code));
        if (code) {
            continue;
        }
        if (signal != SIGHUP) {
            break;
        }
        // Settings are read once at the start, and tables come from the store: the signal is only logged.
        logEvent(log_level::info, "reload");
    }
    logEvent(log_level::info, "stopping");
    beginStop(process.control);
    co_await finishStop(process);
}

} // namespace

bool runRosterDaemon(const daemon_settings &settings, roster_port port, last_reason &why)
{
    roster_process process;
    process.shared.settings = settings;
    process.shared.names = port.names;
    initSharedState(process.shared);
    process.control.shared = &process.shared;
    process.control.port = std::move(port);
    if (!prepareTraffic(process.shared, process.traffic, why) || !startRosterControl(process.control, why)) {
        return false;
    }
    asio::co_spawn(process.control.context, awaitSignals(process), asio::detached);
    logEvent(log_level::info, "started",
             {{"pool", settings.roster->pool.value},
              {"run", std::to_string(process.shared.incarnation.value)},
              {"callers", std::to_string(settings.callersPort)}});
    runTraffic(process.traffic);
    process.control.context.run();
    stopTraffic(process.traffic);
    return true;
}

} // namespace quetzalspool
