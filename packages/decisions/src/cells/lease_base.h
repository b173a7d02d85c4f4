/** @file lease_base.h State of an owner's instance lease. */
#ifndef LEASE_BASE_H
#define LEASE_BASE_H

#include "message_type.h"
#include "record_base.h"

#include <deque>
#include <map>

namespace quetzalspool {

/** A sent renewal whose answers still count. */
struct sent_renewal
{
    std::uint64_t sequence = 0; ///< Sequence number.
    term_number term; ///< Term that it renews.
    config_number config; ///< Set of voters at that time.
    steady_time sentAt{}; ///< Time read before the renewal was sent.
};

/** Latest promise of one voter to this owner. */
struct held_promise
{
    incarnation_id incarnation; ///< Run of the voter that made the promise.
    steady_time until{}; ///< End of the promise, counted from before the renewal was sent.
};

/** Instance lease of one owner. It is valid while a majority of the voters promises not to let the term end. */
struct lease_state
{
    instance_id self; ///< The owner.
    incarnation_id incarnation; ///< Run of its daemon.
    std::uint64_t nextSequence = 1; ///< Sequence number of the next renewal.
    steady_time nextRenewal{}; ///< When to send the next renewal.
    std::deque<sent_renewal> sent; ///< Renewals whose answers still count, oldest first.
    std::map<instance_id, held_promise> promises; ///< Latest promise of each voter.
    std::map<instance_id, steady_time> lastAnswer; ///< When each voter last answered.
    steady_time validUntil{}; ///< End of the lease. Voters never revoke a promise, so it does not decrease while this
                              ///< run is a member.
    term_number highestRefusedTerm; ///< Highest own term that a voter refused for good.
};

} // namespace quetzalspool

#endif // LEASE_BASE_H
