/** @file call_admission_cmd.cpp Order of calls and fresh requests in admission for the local target. */
#include "call_admission_func.h"

#include "admission_estimate_func.h"
#include "call_priority_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

request_urgency urgencyOf(const admission_request &request)
{
    return {request.kind == request_class::order ? 0 : 1, request.rank};
}

bool isMoreUrgent(const admission_request &a, const admission_request &b)
{
    return std::tuple(urgencyOf(a), !a.call) < std::tuple(urgencyOf(b), !b.call);
}

bool precedes(const admission_request &a, const admission_request &b)
{
    return std::tuple(urgencyOf(a), !a.call, a.deadline) < std::tuple(urgencyOf(b), !b.call, b.deadline);
}

void preferCalls(admission_state &state, const admission_request &refused, steady_time now)
{
    const milliseconds service(std::llround(expectedServiceMs(state, isUrgent(refused), true)));
    // A call that arrives with less time than the target needs could not be served by an idle target either.
    if (!refused.call || now + service >= refused.deadline) {
        return;
    }
    holdFreshRequests(state.hold, urgencyOf(refused), service, now);
    const auto yields = [&](const queued_request &waiting) {
        return !waiting.request.call && urgencyOf(waiting.request) >= urgencyOf(refused);
    };
    std::copy_if(state.queue.begin(), state.queue.end(), std::back_inserter(state.displaced), yields);
    std::erase_if(state.queue, yields);
}

milliseconds heldFor(const admission_state &state, const admission_request &request, steady_time now)
{
    return request.call ? milliseconds(0) : holdLeft(state.hold, urgencyOf(request), now);
}

} // namespace quetzalspool
