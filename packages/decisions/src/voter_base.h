/** @file voter_base.h State of a voter: its promises and refusals. Kept in memory only. */
#ifndef VOTER_BASE_H
#define VOTER_BASE_H

#include "message_type.h"
#include "record_base.h"

#include <unordered_map>

namespace quetzalspool {

/** What a voter holds about one member. */
struct member_promise
{
    steady_time promisedUntil{}; ///< End of the last promise.
    term_number refusedUpTo; ///< Terms up to this one are refused for good.
    steady_time lastRenewal{}; ///< Last renewal received.
};

/** A voter of one cell. */
struct voter_state
{
    instance_id self; ///< The voter.
    incarnation_id incarnation; ///< Its run.
    steady_time bootWaitUntil{}; ///< End of the boot wait; before it, the voter answers nothing.
    std::uint64_t admitted = 0; ///< Its admission number; 0 while not admitted in this run.
    config_number retiredBefore; ///< Renewals under a smaller config are refused.
    steady_time retiredPromiseEnd{}; ///< End of the last promise given under a config that was then retired.
    steady_time latestPromiseEnd{}; ///< End of the last promise given to anyone.
    std::unordered_map<instance_id, member_promise> memberPromises; ///< One per member.
};

} // namespace quetzalspool

#endif // VOTER_BASE_H
