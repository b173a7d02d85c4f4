/** @file where_query.cpp Admin queries that explain how a request would be routed. */
#include "where_query.h"

#include "admission_func.h"
#include "allowed_regions_func.h"
#include "call_throttle_func.h"
#include "caller_response.h"
#include "elapsed_clock.h"
#include "leaving_target_func.h"
#include "local_attempt.h"
#include "query_parameter.h"
#include "speed_estimate_func.h"
#include "speed_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;
using clock = elapsed_clock;

constexpr milliseconds answerTimeout{700}; ///< Time in which the traffic thread has to answer.
constexpr milliseconds answerPollInterval{2}; ///< Interval of the checks whether it has answered.
constexpr const char *keyHeader = "key"; ///< Header that contains a key which replaces that of the path.

/** The request that a caller would send, and the route with the part that contains its key. */
std::pair<http_request, route_row> makeCallerRequest(const route_row &found, const where_query &query,
                                                     const std::string &path)
{
    http_request request{query.method, path, {}, {}};
    auto route = found;
    if (query.key && route.keyFrom != key_source::none) {
        route.keyHeader = route.keyFrom == key_source::header ? route.keyHeader : keyHeader;
        route.keyFrom = key_source::header;
        request.headers.emplace_back(route.keyHeader, *query.key);
    }
    return {std::move(request), std::move(route)};
}

/** Describes the target beside this daemon, and what admission would decide on a request that is sent there. */
local_target_report describeLocal(daemon_shared &shared, const routed_request &request, bool sent, steady_time now)
{
    admission_state admission;
    call_throttle throttle;
    {
        const std::lock_guard lock(shared.admissionControl.mutex);
        admission = shared.admissionControl.admission;
        throttle = shared.admissionControl.throttle;
    }
    local_target_report local;
    local.hasTarget = admission.hasTarget;
    local.leaving = admission.leaving || admission.saysLeaving;
    local.drained = admission.drainedSince.has_value();
    local.concurrency = admission.limits.concurrency;
    local.inFlight = admission.inFlight;
    local.queued = admission.queue.size();
    local.queueLimit = admission.limits.queue;
    local.load = loadPerSlot(admission, now);
    local.cold = isCold(admission.cold, now);
    local.coldFor = std::max(std::chrono::ceil<milliseconds>(admission.cold.coldUntil - now), milliseconds(0));
    local.coldPerSecond = admission.cold.perSecond;
    local.limitPerSecond = admission.rate.perSecond;
    local.routeShare = admittedShare(throttle, request.route);
    if (admission.speed.enabled) {
        updateOverrun(admission.speed, now);
        local.speed = learnedSpeed(admission.speed);
    }
    if (sent) {
        const auto throttled = decideThrottle(shared, admission, throttle, request, now);
        local.admission = throttled.admitted ? admit(admission, makeAdmissionRequest(shared, request), now)
                                             : admission_result{false, false, refusal::throttled, throttled.retryAfter};
    }
    return local;
}

std::optional<instance_id> chosenIn(const routing_report &report)
{
    const auto found = std::find_if(report.candidates.begin(), report.candidates.end(),
                                    [](const auto &candidate) { return candidate.chosen; });
    return found == report.candidates.end() ? std::nullopt : std::optional(found->member.id);
}

/** Applies that the local target would refuse the request: it would be sent elsewhere, or refused. */
void applyLocalRefusal(where_answer &answer, const std::optional<instance_id> &next)
{
    answer.next = next;
    if (!next) {
        answer.report.result = report_result::refused;
        answer.report.reason = nameOf(answer.local->admission->refused);
        answer.report.retryAfter = answer.local->admission->retryAfter;
    }
}

std::set<instance_id> findHeardLeaving(daemon_shared &shared, const routing_report &report)
{
    std::set<instance_id> leaving;
    const std::lock_guard lock(shared.leavingTargetsMutex);
    for (const auto &candidate : report.candidates) {
        if (findLeavingTarget(shared.leavingTargets, candidate.member.id)) {
            leaving.insert(candidate.member.id);
        }
    }
    return leaving;
}

json toJson(const candidate_report &candidate, const where_answer &answer)
{
    const bool local = candidate.distance == target_distance::local;
    json out{{"instance", candidate.member.id.value},
             {"region", candidate.member.region.value},
             {"failure_domain", candidate.member.domain.value},
             {"distance", nameOf(candidate.distance)},
             {"slots", candidate.member.target.slots},
             {"load", candidate.load},
             {"score", candidate.score},
             {"speed", nullptr},
             {"report_age_ms", nullptr},
             {"cold", nullptr},
             {"leaving", candidate.member.leaving},
             {"heard_leaving", answer.heardLeaving.contains(candidate.member.id)},
             {"drained", candidate.drained},
             {"ejected", candidate.ejected},
             {"allowed", candidate.allowed},
             {"chosen", candidate.chosen}};
    if (candidate.speed) {
        out["speed"] = *candidate.speed;
    }
    if (candidate.reportAge) {
        out["report_age_ms"] = candidate.reportAge->count();
    }
    if (local && answer.local) {
        out["cold"] = answer.local->cold;
    }
    return out;
}

json toJson(const local_target_report &local)
{
    json out{{"has_target", local.hasTarget},
             {"leaving", local.leaving},
             {"drained", local.drained},
             {"slots", local.concurrency},
             {"in_flight", local.inFlight},
             {"queued", local.queued},
             {"queue", local.queueLimit},
             {"load", local.load},
             {"cold", local.cold},
             {"cold_ms", local.coldFor.count()},
             {"cold_per_s", local.coldPerSecond},
             {"limit_per_s", nullptr},
             {"speed", nullptr},
             {"route_share", local.routeShare},
             {"admission", nullptr}};
    if (local.limitPerSecond) {
        out["limit_per_s"] = *local.limitPerSecond;
    }
    if (local.speed) {
        out["speed"] = *local.speed;
    }
    if (local.admission) {
        const auto &decided = *local.admission;
        out["admission"] = decided.admitted ? "admitted" : decided.queued ? "queued" : "refused";
        if (decided.refused != refusal::none) {
            out["reason"] = nameOf(decided.refused);
            out["retry_after_ms"] = decided.retryAfter.count();
        }
    }
    return out;
}

/** Adds what is known once the route was found. */
void addRoute(json &out, const where_answer &answer)
{
    const auto &report = answer.report;
    const auto &request = answer.request;
    out["route"] = {{"name", report.route}, {"host", report.host}, {"prefix", report.prefix}};
    out["callers"] = answer.callers;
    out["allowed_regions"] = nullptr;
    if (report.allowed.restricted) {
        out["allowed_regions"] = json::array();
        for (const auto &region : report.allowed.regions) {
            out["allowed_regions"].push_back(region.value);
        }
    }
    if (request.pool.value.empty()) {
        return;
    }
    out["pool"] = request.pool.value;
    for (const auto &share : answer.shares) {
        out["shares"].push_back({{"pool", share.pool.value}, {"weight", share.weight}});
    }
    out["class"] = request.kind == request_class::order ? "order" : "lookup";
    out["idempotent"] = request.idempotent;
    out["rank"] = request.rank;
    out["deadline_ms"] = answer.deadline.count();
    out["keyed"] = report.keyed;
    if (report.keyed) {
        out["key"] = request.key;
        out["slot"] = nullptr;
        out["owner"] = nullptr;
    }
    if (report.slot) {
        out["slot"] = report.slot->value;
    }
    if (report.hasOwner) {
        out["owner"] = report.candidates.front().member.id.value;
        out["fence"] = report.fence.value;
        out["revision"] = report.ownersRevision.value;
    }
    out["candidates"] = json::array();
    for (const auto &candidate : report.candidates) {
        out["candidates"].push_back(toJson(candidate, answer));
    }
    out["omitted"] = report.omittedCandidates;
    if (report.expected) {
        out["expected"] = *report.expected;
    }
    if (answer.local) {
        out["local"] = toJson(*answer.local);
    }
}

http_response formatAnswer(const daemon_settings &settings, const where_answer &answer)
{
    const auto &report = answer.report;
    json out{{"result", nameOf(report.result)},
             {"instance", settings.instance.value},
             {"tables", report.tables},
             {"chosen", nullptr}};
    if (const auto chosen = chosenIn(report)) {
        out["chosen"] = chosen->value;
    }
    if (answer.next) {
        out["next"] = answer.next->value;
    }
    if (!report.route.empty()) {
        addRoute(out, answer);
    }
    if (answer.refusal) {
        out["status"] = answer.refusal->status;
        out["reason"] = report.reason;
        const auto retryAfter = findHeader(answer.refusal->headers, "Retry-After");
        if (!retryAfter.empty()) {
            out["retry_after"] = retryAfter;
        }
    }
    const bool explained = report.result == report_result::chosen || report.result == report_result::refused;
    return jsonResponse(explained ? 200 : answer.refusal->status,
                        out.dump(-1, ' ', false, json::error_handler_t::replace));
}

/** Explanation made by another thread. */
struct pending_answer
{
    std::atomic<bool> done = false; ///< Whether the answer is set.
    where_answer answer; ///< Answer.
};

} // namespace

where_answer explainRequest(const traffic_thread &thread, const where_query &query, steady_time now)
{
    auto &shared = *thread.shared;
    const auto &settings = shared.settings;
    const auto view = shared.routing.load();
    const auto target = parseTarget(query.path, query.host);
    report_query asked{target.host, target.path, {}, {}, {}, choiceRules(settings), settings.roster.has_value()};
    where_answer answer;
    auto &report = answer.report;
    auto random = thread.random;
    const auto *route = findRoute(*view, target.host, target.path);
    if (route == nullptr) {
        report = explainRouting(*view, thread.balance, asked, random, now);
        answer.refusal = refusalResponse(shared.names, refusalWithoutRoute(report.result == report_result::no_route));
        return answer;
    }
    answer.callers = route->callers;
    caller_refusal rejection;
    auto [http, withKey] = makeCallerRequest(*route, query, target.path);
    auto resolved = resolveKey(withKey, *view, http, rejection);
    if (!resolved) {
        report = {report_result::refused, tablesVersion(*view), route->name, route->host, route->prefix};
        report.allowed = findAllowedRegions(*view, target.host, target.path, route->regions);
        report.reason = rejection.reason;
        answer.refusal = refusalResponse(shared.names, rejection);
        return answer;
    }
    // The numbers are drawn in the order in which a request draws them.
    const auto id = makeRequestId(random);
    const request_origin origin{shared.names, {}, id, random(), milliseconds(0), now};
    answer.shares = resolved->route.shares;
    answer.request = makeRoutedRequest(resolved->route, std::move(http), std::move(resolved->key), origin);
    markCall(shared, answer.request, std::nullopt, milliseconds(0));
    answer.deadline = std::chrono::duration_cast<milliseconds>(answer.request.deadline - now);
    asked.pool = answer.request.pool;
    asked.key = answer.request.key;
    report = explainRouting(*view, thread.balance, asked, random, now);
    if (report.hasOwner) {
        answer.request.slot = fenced_slot{report.pool, *report.slot, report.fence};
    }
    const auto chosen = chosenIn(report);
    const bool sentHere = chosen == settings.instance;
    const bool hasLocal = std::any_of(report.candidates.begin(), report.candidates.end(), [](const auto &candidate) {
        return candidate.distance == target_distance::local;
    });
    if (hasLocal) {
        answer.local = describeLocal(shared, answer.request, sentHere, now);
    }
    if (sentHere && answer.local->admission->refused != refusal::none) {
        asked.tried.insert(settings.instance);
        applyLocalRefusal(
            answer, report.keyed ? std::nullopt : chosenIn(explainRouting(*view, thread.balance, asked, random, now)));
    }
    answer.heardLeaving = findHeardLeaving(shared, report);
    if (report.result == report_result::refused) {
        answer.refusal =
            failureResponse(shared.names, {attempt_result::not_run, refusal::none, report.reason, report.retryAfter});
    }
    return answer;
}

asio::awaitable<http_response> answerWhere(traffic_thread &thread, std::string target)
{
    where_query query;
    query.path = queryParameter(target, "path").value_or("");
    query.host = queryParameter(target, "host").value_or("");
    query.method = queryParameter(target, "method").value_or("GET");
    query.key = queryParameter(target, "key");
    if (!query.path.starts_with('/') && query.path.find("://") == std::string::npos) {
        co_return jsonResponse(400, R"({"reason":"path must be given and start with a slash"})");
    }
    // No executor of this thread is passed on: at the end of the process, either thread may be destroyed first.
    const auto pending = std::make_shared<pending_answer>();
    asio::post(thread.context, [&thread, query, pending] {
        pending->answer = explainRequest(thread, query, clock::now());
        pending->done = true;
    });
    const auto until = clock::now() + answerTimeout;
    while (!pending->done && clock::now() < until) {
        co_await sleepFor(answerPollInterval);
    }
    if (!pending->done) {
        co_return jsonResponse(503, R"({"reason":"the daemon did not answer within 700 ms; try again"})");
    }
    co_return formatAnswer(thread.shared->settings, pending->answer);
}

} // namespace quetzalspool
