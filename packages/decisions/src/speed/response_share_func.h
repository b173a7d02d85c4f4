/** @file response_share_func.h Shares of a load by which the mean response time of unequal servers is least. */
#ifndef RESPONSE_SHARE_FUNC_H
#define RESPONSE_SHARE_FUNC_H

#include <vector>

namespace quetzalspool {

/**
 * Divides a load among servers of different capacity so that the mean response time is least: the square-root rule of
 * Tantawi and Towsley (1985) for queues with one server each. While the load is low, fast servers are more utilized
 * than slow ones; near the total capacity the shares are in proportion to the capacity. Each server keeps a small
 * share, by which its speed stays known.
 * @param capacities Capacity of each server in requests per second, above 0.
 * @param load Total load in requests per second.
 * @return Load of each server in requests per second.
 */
std::vector<double> sharesByResponse(const std::vector<double> &capacities, double load);

/**
 * Returns the mean number of requests at a server, queued ones included. Its sum over all servers is in proportion to
 * the mean response time (Little's law).
 * @param load Load in requests per second.
 * @param capacity Capacity in requests per second, above 0.
 * @return Mean number of requests; grows steeply but stays finite where the load exceeds the capacity.
 */
double meanRequests(double load, double capacity);

} // namespace quetzalspool

#endif // RESPONSE_SHARE_FUNC_H
