/** @file where_query.h Admin queries that explain how a request would be routed. */
#ifndef WHERE_QUERY_H
#define WHERE_QUERY_H

#include "call_follower.h"
#include "http_type.h"
#include "routing_report_func.h"
#include "traffic_base.h"

#include <string_view>

namespace quetzalspool {

constexpr std::string_view wherePath = "/v1/where"; ///< Path of the queries at the admin port.

/** A request to be explained. */
struct where_query
{
    std::string method = "GET"; ///< Method.
    std::string host; ///< Value of the Host header; empty for none.
    std::string path; ///< Path and query.
    std::optional<std::string> key; ///< Key that replaces the one in the path, or that of the header which the route
                                    ///< takes it from.
};

/** State of the target beside this daemon, which other daemons don't know. */
struct local_target_report
{
    bool hasTarget = false; ///< Whether a target has announced itself.
    bool leaving = false; ///< Whether it is leaving.
    bool drained = false; ///< Whether its failure domain is out of service.
    std::uint32_t concurrency = 0; ///< Requests that it processes at once.
    std::uint32_t inFlight = 0; ///< Requests admitted and not finished.
    std::size_t queued = 0; ///< Requests queued.
    std::uint32_t queueLimit = 0; ///< Requests that may be queued.
    double load = 0; ///< Load as reported to other daemons.
    bool cold = false; ///< Whether the limit of a cold target is in force.
    milliseconds coldFor{0}; ///< Time for which it will still be cold, as far as it has said.
    double coldPerSecond = 0; ///< Requests per second that it takes while it is cold; 0 for no limit.
    std::optional<double> limitPerSecond; ///< Rate limit that it names.
    std::optional<double> speed; ///< Learned speed relative to its own long-term mean, if speeds are learned.
    double routeShare = 1; ///< Share of the fresh requests of the route that its throttle admits.
    std::optional<admission_result> admission; ///< What admission would decide, if the request would be sent there.
};

/** Where a request would go, as this daemon sees it. Owns all its data. */
struct where_answer
{
    routing_report report; ///< Decision of routing.
    routed_request request; ///< The request as it would be routed; without a pool if none was found.
    std::vector<pool_share> shares; ///< Weighted pools of the route, of which one was drawn.
    std::vector<std::string> callers; ///< Networks that may use the route; empty for all.
    milliseconds deadline{0}; ///< Time limit of the request.
    std::set<instance_id> heardLeaving; ///< Candidates that are leaving, as their responses have said.
    std::optional<local_target_report> local; ///< The target beside this daemon, if it is a candidate.
    std::optional<instance_id> next; ///< Target of the next attempt, if the local target would refuse the request.
    std::optional<http_response> refusal; ///< Response that the caller would get, if the request would be refused.
};

/**
 * Explains where a request would go. Changes no state. To be called on the traffic thread.
 * @param thread Traffic thread.
 * @param query Request.
 * @param now Current time.
 * @return The explanation.
 */
where_answer explainRequest(const traffic_thread &thread, const where_query &query, steady_time now);

/**
 * Answers a query of the admin port, which names `path` and may name `host`, `method` and `key`. The explanation is
 * made on the traffic thread, which owns the state of load balancing.
 * @param thread Traffic thread.
 * @param target Path and query of the admin request.
 * @return The response: 200 with the explanation, 404 with it if there is no route, 503 if there are no tables yet.
 */
asio::awaitable<http_response> answerWhere(traffic_thread &thread, std::string target);

} // namespace quetzalspool

#endif // WHERE_QUERY_H
