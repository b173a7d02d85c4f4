/** @file voter_base.h State of a voter: its promises and refusals. It is kept in memory only. */
#ifndef VOTER_BASE_H
#define VOTER_BASE_H

#include "message_type.h"
#include "record_base.h"

#include <unordered_map>

namespace quetzalspool {

/** Promises and refusals of a voter to one member. */
struct member_promise
{
    steady_time promisedUntil{}; ///< End of the latest promise.
    term_number refusedUpTo; ///< Terms up to and including this one are refused for good.
    steady_time lastRenewal{}; ///< When the last renewal arrived.
};

/** State of a voter of one cell. */
struct voter_state
{
    instance_id self; ///< The voter.
    incarnation_id incarnation; ///< Run of its daemon.
    steady_time bootWaitUntil{}; ///< End of the boot wait, during which the voter answers nothing.
    std::uint64_t admitted = 0; ///< Admission number of this run; 0 if it is not admitted.
    config_number retiredBefore; ///< Renewals under earlier sets of voters are refused.
    steady_time retiredPromiseEnd{}; ///< End of the latest promise made before the last retirement.
    steady_time latestPromiseEnd{}; ///< End of the latest promise to any member.
    std::unordered_map<instance_id, member_promise> memberPromises; ///< Promises and refusals by member.
};

} // namespace quetzalspool

#endif // VOTER_BASE_H
