/** @file speed_estimate_func.h Learned speed of the local target. */
#ifndef SPEED_ESTIMATE_FUNC_H
#define SPEED_ESTIMATE_FUNC_H

#include "speed_estimate_base.h"

namespace quetzalspool {

/**
 * Records that a request is handed over.
 * @param estimate Estimate.
 * @param id Id of the request.
 * @param kind Kind of the request.
 * @param now Present time.
 */
void beginWork(speed_estimate &estimate, std::uint64_t id, const work_kind &kind, steady_time now);

/**
 * Records that the target no longer works on a request. Does nothing for an unknown one.
 * @param estimate Estimate.
 * @param id Id of the request.
 */
void endWork(speed_estimate &estimate, std::uint64_t id);

/**
 * Updates the estimate with the service time of a response.
 * @param estimate Estimate.
 * @param kind Kind of the request.
 * @param service Its service time.
 * @param now Present time.
 */
void learnService(speed_estimate &estimate, const work_kind &kind, milliseconds service, steady_time now);

/**
 * Updates what changes with time: the lower bound of the pace that the age of the requests in progress proves, in which
 * a slowdown shows before the first slow response, the mean pace, and the age of what the target stated.
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
 * Returns the load that the target states while it has requests waiting: it may have work besides this daemon's.
 * @param estimate Estimate.
 * @param now Present time.
 * @return Running and waiting requests per slot; 0 if none wait or nothing recent was stated.
 */
double statedLoadPerSlot(const speed_estimate &estimate, steady_time now);

/**
 * Returns the expected service time of urgent or normal requests, over their kinds in the present mix.
 * @param estimate Estimate.
 * @param urgent Whether for urgent requests.
 * @return Service time in milliseconds; 0 if there was no response to such a request.
 */
double learnedServiceMs(const speed_estimate &estimate, bool urgent);

/**
 * Returns the expected service time of one kind of request.
 * @param estimate Estimate.
 * @param kind Kind.
 * @return Service time in milliseconds; 0 if there was no response to a request of this kind.
 */
double learnedServiceMs(const speed_estimate &estimate, const work_kind &kind);

/**
 * Returns the expected service time over all kinds of requests in their present mix, at the mean pace of about a
 * second.
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

} // namespace quetzalspool

#endif // SPEED_ESTIMATE_FUNC_H
