/** @file speed_estimate_func.h Learned speed of the local target. */
#ifndef SPEED_ESTIMATE_FUNC_H
#define SPEED_ESTIMATE_FUNC_H

#include "speed_estimate_base.h"

#include <string_view>

namespace quetzalspool {

/**
 * Records that a request is handed over.
 * @param estimate Estimate.
 * @param id Id of the request.
 * @param urgent Whether it is urgent.
 * @param now Present time.
 */
void beginWork(speed_estimate &estimate, std::uint64_t id, bool urgent, steady_time now);

/**
 * Records that the target no longer works on a request. Does nothing for an unknown one.
 * @param estimate Estimate.
 * @param id Id of the request.
 */
void endWork(speed_estimate &estimate, std::uint64_t id);

/**
 * Updates the estimate with the service time of a response.
 * @param estimate Estimate.
 * @param urgent Whether the request was urgent.
 * @param service Its service time.
 * @param now Present time.
 */
void learnService(speed_estimate &estimate, bool urgent, milliseconds service, steady_time now);

/**
 * Updates the lower bound of the pace that the age of the requests in progress proves. A slowdown shows in it before
 * the first slow response.
 * @param estimate Estimate.
 * @param now Present time.
 */
void updateOverrun(speed_estimate &estimate, steady_time now);

/**
 * Applies a load that the target states.
 * @param estimate Estimate.
 * @param stated Stated load.
 * @param now Present time.
 */
void applyStatedLoad(speed_estimate &estimate, const stated_load &stated, steady_time now);

/**
 * Returns the expected service time.
 * @param estimate Estimate.
 * @param urgent Whether for an urgent request.
 * @return Service time in milliseconds; 0 if there was no response to a request of this kind.
 */
double learnedServiceMs(const speed_estimate &estimate, bool urgent);

/**
 * Returns the expected service time over all kinds of requests in their present mix.
 * @param estimate Estimate.
 * @return Service time in milliseconds; 0 if there was no response.
 */
double learnedMeanServiceMs(const speed_estimate &estimate);

/**
 * Returns the learned speed.
 * @param estimate Estimate.
 * @return Speed relative to the long-term mean of the target: 1 is usual, 0.25 is four times slower.
 */
double learnedSpeed(const speed_estimate &estimate);

/**
 * Parses a stated load: three or four decimal numbers separated by commas or spaces: running, waiting, slots, and the
 * time that work takes in percent of the usual.
 * @param text Value of the header.
 * @return The load, or nothing if the value is malformed.
 */
std::optional<stated_load> parseStatedLoad(std::string_view text);

} // namespace quetzalspool

#endif // SPEED_ESTIMATE_FUNC_H
