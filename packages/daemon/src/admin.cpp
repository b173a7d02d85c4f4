/** @file admin.cpp HTTP interface for operators, metrics and the target beside the daemon. */
#include "admin.h"

#include "byte_metrics.h"
#include "catalog_func.h"
#include "control.h"
#include "edits.h"
#include "elapsed_clock.h"
#include "lease_func.h"
#include "placement_func.h"
#include "query_parameter.h"
#include "record_func.h"
#include "routing_func.h"
#include "where_query.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;
using clock = elapsed_clock;

constexpr milliseconds adminTimeout{800}; ///< Time limit of a request to another daemon's admin port.

http_response announceTarget(control_state &control, const std::string &body)
{
    const auto from = json::parse(body, nullptr, false);
    target_announcement announcement;
    try {
        announcement.pool.value = from.at("pool").get<std::string>();
        const auto address = parseEndpoint(from.at("address").get<std::string>());
        if (!address) {
            return jsonResponse(400, R"({"reason":"address must be an IP address and a port"})");
        }
        announcement.address = *address;
        announcement.slots = from.at("slots");
        announcement.connections = from.at("connections");
        announcement.checksGrants = from.value("checks_grants", false);
    } catch (const json::exception &error) {
        return jsonResponse(400, json{{"reason", error.what()}}.dump());
    }
    const auto now = clock::now();
    applyAnnouncement(control, announcement, now);
    // The target counts the lease from before it sent the request. Its grant therefore never ends later than the lease
    // here, even if either process was paused in between.
    const auto lease = std::chrono::floor<milliseconds>(ownCell(control).lease.validUntil - now);
    return jsonResponse(200, json{{"lease_ms", std::max<std::int64_t>(lease.count(), 0)}}.dump());
}

/** Status of this daemon. */
json selfStatus(control_state &control)
{
    const auto &cell = ownCell(control);
    const auto view = control.shared->routing.load();
    const auto now = clock::now();
    const auto lease = std::chrono::duration_cast<milliseconds>(cell.lease.validUntil - now).count();
    return {{"instance", control.shared->settings.instance.value},
            {"state", embeddedChart(chart_file::member).states[cell.lifecycle]},
            {"tables_revision", view->tablesRevision.value},
            {"documents", control.catalog.documents.size()},
            {"summary", std::to_string(catalogDigest(control.catalog))},
            {"slots_owned", control.publishedSlots.open.size()},
            {"lease_ms", std::max<std::int64_t>(lease, 0)},
            {"store_went_back", control.store.restored},
            {"watching", control.watching}};
}

json membersToJson(const routing_view &view)
{
    auto list = json::array();
    for (const auto &entry : view.cells) {
        for (const auto &member : entry.second->members) {
            std::size_t owned = 0;
            for (const auto &pool : entry.second->pools) {
                for (const auto &owner : pool.second.owners) {
                    owned += owner.memberIndex >= 0
                            && entry.second->members[static_cast<std::size_t>(owner.memberIndex)].id == member.id
                        ? 1
                        : 0;
                }
            }
            list.push_back({{"instance", member.id.value},
                            {"cell", entry.first.value},
                            {"region", member.region.value},
                            {"failure_domain", member.domain.value},
                            {"pool", member.target.pool.value},
                            {"term", member.term.value},
                            {"leaving", member.leaving},
                            {"slots_owned", owned},
                            {"admin", member.endpoints.host + ":" + std::to_string(member.endpoints.admin)}});
        }
    }
    return list;
}

json cellsToJson(control_state &control)
{
    auto list = json::array();
    for (const auto &[key, known] : control.catalog.documents) {
        last_reason why;
        if (!key.starts_with("cells/")) {
            continue;
        }
        if (const auto record = parseRecord(*known.value, why)) {
            auto voters = json::array();
            for (const auto &voter : record->voters) {
                voters.push_back(voter.id.value);
            }
            list.push_back({{"cell", record->id.value},
                            {"revision", known.revision.value},
                            {"config", record->config.value},
                            {"members", record->members.size()},
                            {"voters", voters},
                            {"voters_changing", !record->previousVoters.empty()}});
        }
    }
    return list;
}

/** Fetches a daemon's status; if it does not respond, the state is "unanswered" and the reason is included. */
asio::awaitable<json> fetchStatus(std::shared_ptr<http_connection_pool> pool, endpoint at, std::string instance)
{
    last_reason why;
    http_request request{"GET", "/v1/self", {}, ""};
    const auto response = co_await sendRequest(pool, at, std::move(request), adminTimeout, why);
    json status{{"instance", instance}, {"state", "unanswered"}, {"reason", describe(why)}};
    if (response) {
        status = json::parse(response->body, nullptr, false);
    }
    co_return status;
}

/** Fetches the status of all daemons concurrently. */
asio::awaitable<json> fetchAllStatuses(control_state &control)
{
    const auto view = control.shared->routing.load();
    auto statuses = std::make_shared<json>(json::array());
    auto pending = std::make_shared<std::size_t>(0);
    const auto pool = control.store.pool;
    for (const auto &entry : view->cells) {
        for (const auto &member : entry.second->members) {
            if (member.id == control.shared->settings.instance) {
                statuses->push_back(selfStatus(control));
                continue;
            }
            ++*pending;
            auto addStatus = [statuses, pending, pool](endpoint at, std::string instance) -> asio::awaitable<void> {
                auto status = co_await fetchStatus(pool, at, instance);
                statuses->push_back(std::move(status));
                --*pending;
            };
            asio::co_spawn(
                control.context,
                [addStatus, at = endpoint{member.endpoints.host, member.endpoints.admin}, instance = member.id.value] {
                    return addStatus(at, instance);
                },
                asio::detached);
        }
    }
    while (*pending > 0) {
        co_await sleepFor(milliseconds(5));
    }
    co_return *statuses;
}

asio::awaitable<http_response> statusResponse(control_state &control)
{
    auto daemons = co_await fetchAllStatuses(control);
    const auto view = control.shared->routing.load();
    auto lagging = json::array();
    for (const auto &status : daemons) {
        if (status.value("tables_revision", std::int64_t(-1)) < view->tablesRevision.value) {
            lagging.push_back(status.value("instance", ""));
        }
    }
    co_return jsonResponse(200,
                           json{{"tables_revision", view->tablesRevision.value},
                                {"instances", membersToJson(*view)},
                                {"cells", cellsToJson(control)},
                                {"daemons", std::move(daemons)},
                                {"lagging", lagging}}
                               .dump());
}

http_response showResponse(control_state &control)
{
    auto rows = json::array();
    for (const auto &[key, known] : control.catalog.documents) {
        auto row = json::parse(*known.value, nullptr, false);
        if (!key.starts_with("cells/") && !row.value("removed", false)) {
            rows.push_back({{"key", key}, {"revision", known.revision.value}, {"row", std::move(row)}});
        }
    }
    return jsonResponse(200, rows.dump());
}

http_response ownerResponse(control_state &control, const std::string &path)
{
    const auto view = control.shared->routing.load();
    const pool_id name{queryParameter(path, "pool").value_or("")};
    const auto key = queryParameter(path, "key").value_or("");
    const auto pool = view->pools.find(name);
    if (pool == view->pools.end() || !pool->second.row.keyed) {
        return jsonResponse(404, R"({"reason":"the pool does not exist or is not keyed"})");
    }
    const auto slot = hashToSlot(key, pool->second.row.slots);
    const auto owner = findOwner(*view, name, slot);
    json body{{"pool", name.value}, {"key", key}, {"slot", slot.value}, {"owner", nullptr}};
    if (owner) {
        body["owner"] = owner->member->id.value;
        body["fence"] = owner->fence.value;
        body["revision"] = owner->revision.value;
        body["failure_domain"] = owner->member->domain.value;
        body["callers"] = owner->member->endpoints.host + ":" + std::to_string(owner->member->endpoints.callers);
    }
    return jsonResponse(200, body.dump());
}

http_response measuresResponse(control_state &control)
{
    auto pools = json::array();
    for (const auto &[key, known] : control.catalog.documents) {
        last_reason why;
        if (!key.starts_with("cells/")) {
            continue;
        }
        const auto record = parseRecord(*known.value, why);
        for (const auto &[pool, slots] : record ? record->pools : decltype(record->pools)()) {
            std::size_t unowned = 0;
            for (const auto &slot : slots) {
                unowned += findMember(*record, slot.owner) == nullptr ? 1 : 0;
            }
            pools.push_back(
                {{"cell", record->id.value},
                 {"pool", pool.value},
                 {"slots", slots.size()},
                 {"unowned", unowned},
                 {"imbalance", imbalanceOf(record->members, pool, slots, control.shared->routing.load()->drained)}});
        }
    }
    return jsonResponse(200, pools.dump());
}

/** Makes the daemon of an instance start a planned stop. */
asio::awaitable<http_response> drainResponse(control_state &control, std::string body)
{
    const auto from = json::parse(body, nullptr, false);
    const auto name = from.is_object() ? from.value("instance", "") : std::string();
    const auto view = control.shared->routing.load();
    for (const auto &entry : view->cells) {
        for (const auto &member : entry.second->members) {
            if (member.id.value != name) {
                continue;
            }
            last_reason why;
            const endpoint at{member.endpoints.host, member.endpoints.admin};
            http_request request{"POST", "/v1/leave", {}, "{}"};
            const auto response = co_await sendRequest(control.store.pool, at, std::move(request), adminTimeout, why);
            co_return response ? *response : jsonResponse(504, json{{"reason", describe(why)}}.dump());
        }
    }
    co_return jsonResponse(404, R"({"reason":"no such instance"})");
}

http_response leaveResponse(control_state &control)
{
    beginLeaving(control);
    return jsonResponse(200, R"({"state":"leaving"})");
}

} // namespace

asio::awaitable<http_response> handleAdminRequest(control_state &control, http_request request)
{
    const auto path = request.path.substr(0, request.path.find('?'));
    const bool post = request.method == "POST";
    if (post && path == "/v1/announce") {
        co_return announceTarget(control, request.body);
    }
    if (path == "/v1/self") {
        co_return jsonResponse(200, selfStatus(control).dump());
    }
    if (path == "/v1/status") {
        co_return co_await statusResponse(control);
    }
    if (path == "/v1/show") {
        co_return showResponse(control);
    }
    if (path == "/v1/owner") {
        co_return ownerResponse(control, request.path);
    }
    if (path == wherePath) {
        co_return co_await control.shared->answerWhere(request.path);
    }
    if (path == "/v1/measures") {
        co_return measuresResponse(control);
    }
    if (path == "/v1/audit") {
        co_return co_await listStored(control, "audit/");
    }
    if (path == "/v1/proposals") {
        co_return co_await listStored(control, "proposals/");
    }
    if (post && path == "/v1/apply") {
        co_return co_await applyEdit(control, std::move(request.body));
    }
    if (post && path == "/v1/approve") {
        co_return co_await approveEdit(control, std::move(request.body));
    }
    if (post && path == "/v1/drain") {
        co_return co_await drainResponse(control, std::move(request.body));
    }
    if (post && path == "/v1/leave") {
        co_return leaveResponse(control);
    }
    if (path == "/metrics") {
        showSentBytes(*control.shared);
        co_return http_response{
            200, {{"Content-Type", "text/plain; version=0.0.4"}}, formatMetrics(*control.shared->metricsRegistry)};
    }
    co_return jsonResponse(404, R"({"reason":"no such path"})");
}

} // namespace quetzalspool
