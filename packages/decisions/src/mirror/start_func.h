/**
 * @file start_func.h Which daemon reads the store when many start at once. All keys of a fleet of hundreds take some
 * hundred kilobytes: if each daemon of a region read them over the link to the store, their calls would time out and be
 * repeated, and the fleet would not start within its time.
 */
#ifndef START_FUNC_H
#define START_FUNC_H

#include "start_base.h"

#include <string>
#include <string_view>

namespace quetzalspool {

/**
 * Returns the group in which a daemon starts.
 * @param domain Failure domain of the daemon.
 * @param id Name of the daemon.
 * @return Name of the group, part of a key of the store.
 */
std::string startGroup(const domain_id &domain, const instance_id &id);

/**
 * Decides what a daemon that has no copy of the store does next.
 * @param state What is known of the reader of its group.
 * @param now Present time.
 * @return Next step.
 */
start_step nextStartStep(const start_state &state, steady_time now);

/**
 * Records which daemon the store names as the reader.
 * @param state Start.
 * @param reader Address; nothing if the key does not exist or can't be read.
 * @param revision Revision of the key.
 * @param now Present time.
 */
void applyReader(start_state &state, const std::optional<endpoint> &reader, revision_number revision, steady_time now);

/**
 * Formats the address of a reader as the value of its key.
 * @param reader Address.
 * @return Value.
 */
std::string formatReader(const endpoint &reader);

/**
 * Parses the value of a reader's key.
 * @param text Value; may be written by anyone.
 * @return Address, or nothing if the value is malformed.
 */
std::optional<endpoint> parseReader(std::string_view text);

} // namespace quetzalspool

#endif // START_FUNC_H
