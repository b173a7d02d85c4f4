/** @file target_standin.cpp A target with limited concurrency, a service time, fence checks and a log of executed
 * requests. */
#include "target_standin.h"

#include "elapsed_clock.h"
#include "http_client.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;
using clock = elapsed_clock;

constexpr milliseconds announceInterval{1000};
constexpr milliseconds fencedAnnounceInterval{
    250}; ///< Announcement interval of a target that checks fences: it must learn lease extensions in time.
constexpr milliseconds announceTimeout{500};

http_response refuse(target_standin &target, unsigned status, const std::string &reason)
{
    ++target.refusals;
    return {status, {{"Quetzalspool-Not-Run", reason}}, reason + "\n"};
}

/** Whether the daemon's lease has expired, or the slot has already seen a higher fence. Records the fence. */
bool hasStaleFence(target_standin &target, const http_request &request)
{
    const auto fence = findHeader(request.headers, "Quetzalspool-Fence");
    if (!target.options.checksFences || fence.empty()) {
        return false;
    }
    if (clock::now() >= target.leaseUntil) {
        return true;
    }
    const auto slot =
        findHeader(request.headers, "Quetzalspool-Pool") + "/" + findHeader(request.headers, "Quetzalspool-Slot");
    auto &highest = target.fences[slot];
    const auto number = std::strtoull(fence.c_str(), nullptr, 10);
    if (number < highest) {
        return true;
    }
    highest = number;
    return false;
}

void recordExecution(target_standin &target, const http_request &request)
{
    ++target.executions;
    if (!target.log.is_open()) {
        return;
    }
    const auto at = std::chrono::duration_cast<std::chrono::microseconds>(clock::now().time_since_epoch()).count();
    const json line{{"target", target.options.name},
                    {"at_us", at},
                    {"method", request.method},
                    {"path", request.path},
                    {"key", findHeader(request.headers, "Quetzalspool-Key")},
                    {"id", findHeader(request.headers, "Quetzalspool-Request-Id")},
                    {"slot", findHeader(request.headers, "Quetzalspool-Slot")},
                    {"fence", findHeader(request.headers, "Quetzalspool-Fence")}};
    target.log << line.dump() << std::endl;
}

http_response handleControlRequest(target_standin &target, const http_request &request)
{
    auto &options = target.options;
    if (request.path == "/standin/behave") {
        const auto body = json::parse(request.body.text(), nullptr, false);
        options.frozen = body.value("frozen", options.frozen);
        options.shedding = body.value("shedding", options.shedding);
        options.serviceTime = milliseconds(body.value("service_ms", options.serviceTime.count()));
        target.changed->notifyAll();
    }
    return jsonResponse(
        200, json{{"runs", target.executions}, {"refusals", target.refusals}, {"working", target.inFlight}}.dump());
}

asio::awaitable<http_response> handleRequest(std::shared_ptr<target_standin> target, http_request request)
{
    if (request.path.starts_with("/standin/")) {
        co_return handleControlRequest(*target, request);
    }
    auto &options = target->options;
    if (options.shedding) {
        co_return refuse(*target, 503, "shed");
    }
    while (options.frozen || target->inFlight >= options.slots) {
        co_await target->changed->waitUntil(clock::now() + std::chrono::seconds(1));
    }
    if (hasStaleFence(*target, request)) {
        co_return refuse(*target, 412, "stale-grant");
    }
    ++target->inFlight;
    recordExecution(*target, request);
    if (options.serviceTime.count() > 0) {
        co_await sleepFor(options.serviceTime);
    }
    --target->inFlight;
    target->changed->notifyAll();
    const auto position = request.path.find("bytes=");
    const auto bytes =
        position == std::string::npos ? 0 : std::strtoull(request.path.c_str() + position + 6, nullptr, 10);
    json body{{"target", options.name},
              {"path", request.path},
              {"key", findHeader(request.headers, "Quetzalspool-Key")},
              {"id", findHeader(request.headers, "Quetzalspool-Request-Id")}};
    auto response = jsonResponse(200, body.dump() + "\n");
    response.body.append(bytes, 'x');
    co_return response;
}

asio::awaitable<void> announceLoop(std::shared_ptr<target_standin> target, std::shared_ptr<tcp::acceptor> acceptor)
{
    const auto pool = makeHttpConnectionPool();
    const auto &options = target->options;
    while (acceptor->is_open()) {
        const json body{{"pool", options.pool},
                        {"address", toString(options.listen)},
                        {"slots", options.slots},
                        {"connections", options.connections},
                        {"checks_grants", options.checksFences}};
        http_request request{"POST", "/v1/announce", {}, body.dump()};
        last_reason why;
        const auto sentAt = clock::now();
        const auto response = co_await sendRequest(pool, options.daemon, std::move(request), announceTimeout, why);
        const auto lease = json::parse(response ? response->body : "", nullptr, false);
        if (lease.is_object()) {
            target->leaseUntil = sentAt + milliseconds(lease.value("lease_ms", std::int64_t(0)));
        }
        co_await sleepFor(options.checksFences ? fencedAnnounceInterval : announceInterval);
    }
}

} // namespace

asio::awaitable<void> serveTarget(std::shared_ptr<target_standin> target, std::shared_ptr<tcp::acceptor> acceptor)
{
    target->changed = std::make_shared<async_condition>(acceptor->get_executor());
    if (!target->options.logFile.empty()) {
        target->log.open(target->options.logFile, std::ios::app);
    }
    if (target->options.daemon.port != 0) {
        asio::co_spawn(acceptor->get_executor(), announceLoop(target, acceptor), asio::detached);
    }
    http_handler handler = [target](http_request request) { return handleRequest(target, std::move(request)); };
    const http_server_options serverOptions;
    co_await serveHttp(acceptor, handler, serverOptions);
}

} // namespace quetzalspool
