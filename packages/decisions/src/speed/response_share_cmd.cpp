/** @file response_share_cmd.cpp Shares of a load by which the mean response time of unequal servers is least. */
#include "response_share_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace quetzalspool {

namespace {

constexpr double leastShare = 0.1; ///< Lower bound of a share, relative to the share in proportion to the capacity.
constexpr double fullUtilization = 0.95; ///< From here on the mean number of requests is continued as a straight line.

/** Shares by the square-root rule over the servers that it gives any load; 0 for the others. */
std::vector<double> squareRootShares(const std::vector<double> &capacities, double load)
{
    std::vector<double> shares(capacities.size(), 0);
    std::vector<bool> used(capacities.size(), true);
    for (bool changed = true; changed;) {
        double spare = -load;
        double roots = 0;
        for (std::size_t index = 0; index < capacities.size(); ++index) {
            spare += used[index] ? capacities[index] : 0;
            roots += used[index] ? std::sqrt(capacities[index]) : 0;
        }
        changed = false;
        for (std::size_t index = 0; index < capacities.size(); ++index) {
            const auto share = capacities[index] - std::sqrt(capacities[index]) * spare / roots;
            shares[index] = used[index] ? share : 0;
            if (used[index] && share < 0) {
                used[index] = false;
                shares[index] = 0;
                changed = true;
            }
        }
    }
    return shares;
}

} // namespace

std::vector<double> sharesByResponse(const std::vector<double> &capacities, double load)
{
    const auto total = std::accumulate(capacities.begin(), capacities.end(), 0.0);
    std::vector<double> proportional;
    for (const auto capacity : capacities) {
        assert(capacity > 0);
        proportional.push_back(load * capacity / total);
    }
    if (load >= total * fullUtilization) {
        return proportional;
    }
    auto shares = squareRootShares(capacities, load);
    double sum = 0;
    for (std::size_t index = 0; index < shares.size(); ++index) {
        shares[index] = std::max(shares[index], leastShare * proportional[index]);
        sum += shares[index];
    }
    for (auto &share : shares) {
        share *= sum > 0 ? load / sum : 0;
    }
    return shares;
}

double meanRequests(double load, double capacity)
{
    const auto utilization = load / capacity;
    if (utilization < fullUtilization) {
        return utilization / (1 - utilization);
    }
    const auto atFull = fullUtilization / (1 - fullUtilization);
    const auto slope = 1 / ((1 - fullUtilization) * (1 - fullUtilization));
    return atFull + slope * (utilization - fullUtilization);
}

} // namespace quetzalspool
