/** @file roster_daemon.cpp A whole daemon whose keys are owned by leases of the store: start and planned stop. */
#include "roster_daemon.h"

#include "elapsed_clock.h"
#include "log_func.h"
#include "roster_control.h"
#include "traffic_start.h"

#include <boost/asio/signal_set.hpp>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds writeTime{400}; ///< After the last deadline, for answers that are being written.

/** Everything that lives as long as the daemon. */
struct roster_parts
{
    daemon_shared shared; ///< Shared state.
    traffic_threads traffic; ///< Traffic threads.
    roster_control
        control; ///< Control thread; ends first, since its answers to other daemons wait for traffic threads.
};

/** Waits until callers know that they should go elsewhere, then until nothing is under way. */
asio::awaitable<void> finishStop(roster_parts &parts)
{
    const auto limit = clock::now() + parts.shared.settings.drainLimit + writeTime;
    co_await sleepFor(parts.shared.settings.roster->stopNotice);
    parts.shared.stopping = true;
    closeListeners(parts.traffic);
    co_await awaitIdle(parts.shared, limit);
    parts.control.context.stop();
}

asio::awaitable<void> awaitSignals(roster_parts &parts)
{
    asio::signal_set signals(parts.control.context, SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        error_code code;
        const int signal = co_await signals.async_wait(redirectError(code));
        if (code) {
            continue;
        }
        if (signal != SIGHUP) {
            break;
        }
        // Addresses and names hold for the whole run of a process; what changes daily comes through the store.
        logEvent(log_level::info, "reload");
    }
    logEvent(log_level::info, "stopping");
    beginStop(parts.control);
    co_await finishStop(parts);
}

} // namespace

bool runRosterDaemon(const daemon_settings &settings, roster_port port, last_reason &why)
{
    roster_parts parts;
    parts.shared.settings = settings;
    parts.shared.names = port.names;
    initSharedState(parts.shared);
    parts.control.shared = &parts.shared;
    parts.control.port = std::move(port);
    if (!prepareTraffic(parts.shared, parts.traffic, why) || !startRosterControl(parts.control, why)) {
        return false;
    }
    asio::co_spawn(parts.control.context, awaitSignals(parts), asio::detached);
    logEvent(log_level::info, "started",
             {{"pool", settings.roster->pool.value},
              {"run", std::to_string(parts.shared.incarnation.value)},
              {"callers", std::to_string(settings.callersPort)}});
    runTraffic(parts.traffic);
    parts.control.context.run();
    stopTraffic(parts.traffic);
    return true;
}

} // namespace quetzalspool
