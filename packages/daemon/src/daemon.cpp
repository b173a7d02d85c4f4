/** @file daemon.cpp Start, threads, listeners and planned stop of a daemon. */
#include "daemon.h"

#include "admin.h"
#include "control.h"
#include "elapsed_clock.h"
#include "http_server.h"
#include "log_func.h"
#include "traffic_start.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds stopPollInterval{20}; ///< Interval of the checks whether a stop was requested or is complete.

/** Objects that live as long as the daemon. */
struct daemon_parts
{
    daemon_shared shared; ///< State shared by all threads.
    control_state control; ///< State of the control thread.
    traffic_threads traffic; ///< Traffic threads.
    std::shared_ptr<tcp::acceptor> admin; ///< Listening socket of the admin port.
};

bool startAdmin(daemon_parts &parts, last_reason &why)
{
    const auto &settings = parts.shared.settings;
    auto acceptor = listenOn(parts.control.context, {settings.host, settings.adminPort}, why);
    if (!acceptor) {
        return false;
    }
    parts.admin = std::make_shared<tcp::acceptor>(std::move(*acceptor));
    auto &control = parts.control;
    http_handler handler = [&control](http_request request) { return handleAdminRequest(control, std::move(request)); };
    asio::co_spawn(control.context, serveHttp(parts.admin, handler, {}), asio::detached);
    return true;
}

/** Completes a planned stop once the cell is left and no request is in flight, or when the drain limit has passed. */
asio::awaitable<void> finishStop(daemon_parts &parts)
{
    const auto deadline = clock::now() + parts.shared.settings.drainLimit;
    parts.shared.stopDeadline = deadline;
    while (!hasLeft(parts.control) && clock::now() < deadline) {
        co_await sleepFor(stopPollInterval);
    }
    logEvent(log_level::info, "left-cell");
    co_await drainTraffic(parts.shared, parts.traffic);
    parts.control.context.stop();
}

asio::awaitable<void> awaitStop(daemon_parts &parts)
{
    asio::signal_set signals(parts.control.context, SIGTERM, SIGINT);
    bool signalled = false;
    signals.async_wait([&signalled](error_code code, int /*signal*/) { signalled = !code; });
    while (!signalled && !parts.control.stopping) {
        co_await sleepFor(stopPollInterval);
    }
    beginLeaving(parts.control);
    co_await finishStop(parts);
}

} // namespace

bool runDaemon(const daemon_settings &settings, last_reason &why)
{
    daemon_parts parts;
    parts.shared.settings = settings;
    initSharedState(parts.shared);
    parts.control.shared = &parts.shared;
    if (!prepareTraffic(parts.shared, parts.traffic, why) || !startControl(parts.control, why)
        || !startAdmin(parts, why)) {
        return false;
    }
    asio::co_spawn(parts.control.context, awaitStop(parts), asio::detached);
    logEvent(log_level::info, "started",
             {{"cell", settings.cell.value}, {"callers", std::to_string(settings.callersPort)}});
    runTraffic(parts.traffic);
    parts.control.context.run();
    stopTraffic(parts.traffic);
    return true;
}

} // namespace quetzalspool
