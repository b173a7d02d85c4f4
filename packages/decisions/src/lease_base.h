/** @file lease_base.h State of an owner's instance lease. */
#ifndef LEASE_BASE_H
#define LEASE_BASE_H

#include "message_type.h"
#include "record_base.h"

#include <deque>
#include <map>

namespace quetzalspool {

/** A renewal that was sent and may still be answered. */
struct sent_renewal
{
    std::uint64_t sequence = 0; ///< Its number.
    term_number term; ///< Term it was sent for.
    config_number config; ///< Set of voters it was sent under.
    steady_time sentAt{}; ///< Taken before it was sent.
};

/** Promises of one voter to this owner. */
struct held_promise
{
    incarnation_id incarnation; ///< Run of the voter that vouched.
    steady_time until{}; ///< End of the promise, counted from before the owner asked.
};

/** Instance lease of one owner. */
struct lease_state
{
    instance_id self; ///< The owner.
    incarnation_id incarnation; ///< Its run.
    std::uint64_t nextSequence = 1; ///< Number of the next renewal.
    steady_time nextRenewal{}; ///< When to renew next.
    std::deque<sent_renewal> sent; ///< Renewals that may still be answered, oldest first.
    std::map<instance_id, held_promise> promises; ///< Last promise of each voter.
    std::map<instance_id, steady_time> lastAnswer; ///< Last answer of each voter.
    steady_time validUntil{}; ///< End of the lease. Promises once given stand, so it never moves back.
    term_number highestRefusedTerm; ///< Greatest own term that a voter refused for good.
};

} // namespace quetzalspool

#endif // LEASE_BASE_H
