/** @file outcome.cpp State tracking and names of request outcomes. */
#include "outcome_type.h"

#include <cassert>

namespace quetzalspool {

void outcome_tracker::applyEvent(std::string_view event)
{
    const auto &chart = embeddedChart(chart_file::outcome);
    const auto next = step(chart, state, eventNamed(chart, event));
    assert(next.has_value());
    state = *next;
}

const char *lossReason(const loss_context &context, const char *broken)
{
    if (context.callerDisconnected) {
        return "caller-left";
    }
    if (context.deadlinePassed) {
        return "time-over";
    }
    return context.ownerChanged ? "owner-changed" : broken;
}

const char *nameOf(attempt_result result)
{
    switch (result) {
    case attempt_result::answered:
        return "answered";
    case attempt_result::not_run:
        return "not-run";
    default:
        return "unknown";
    }
}

} // namespace quetzalspool
