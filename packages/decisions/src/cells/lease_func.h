/** @file lease_func.h Renewal and validity of an owner's instance lease. */
#ifndef LEASE_FUNC_H
#define LEASE_FUNC_H

#include "lease_base.h"

namespace quetzalspool {

/**
 * Creates the next renewal if one is due and the record lists this run as a member.
 * @param state Lease.
 * @param stored The cell's record.
 * @param timing Intervals of the cell.
 * @param now Present time, read before the message is sent.
 * @return Message to every voter, or nothing.
 */
std::optional<renew_message> nextRenewal(lease_state &state, const stored_record &stored, const cell_timing &timing,
                                         steady_time now);

/**
 * Applies a voter's answer to a renewal and updates the end of the lease.
 * @param state Lease.
 * @param message Answer.
 * @param stored The cell's record.
 * @param timing Intervals of the cell.
 * @param now Present time.
 */
void applyPromise(lease_state &state, const promise_message &message, const stored_record &stored,
                  const cell_timing &timing, steady_time now);

/**
 * Computes until when a majority of each set of voters has promised not to let the owner's term end.
 * @param state Lease.
 * @param record The cell's record.
 * @return End of the lease; the clock's epoch if there is no majority.
 */
steady_time leaseEnd(const lease_state &state, const cell_record &record);

/**
 * Applies a new record. A new term or set of voters is renewed at once; a run that is no longer a member loses its
 * lease.
 * @param state Lease.
 * @param stored The cell's record.
 */
void applyRecord(lease_state &state, const stored_record &stored);

} // namespace quetzalspool

#endif // LEASE_FUNC_H
