/** @file start_base.h How a daemon gets its first copy of the store: from the store, or from a daemon that has one. */
#ifndef START_BASE_H
#define START_BASE_H

#include "base_type.h"

#include <optional>

namespace quetzalspool {

/** Groups of each failure domain in which one daemon reads the store for those that start. */
constexpr std::uint32_t startGroupsPerDomain = 2;

/** What a daemon that starts does next. */
enum class start_step
{
    claim, ///< Write its own address as that of the daemon that reads the store for the group.
    ask, ///< Ask the daemon that does.
    read_store, ///< Read the store itself.
};

/** What is known of the daemon that reads the store for the group. */
struct start_state
{
    endpoint self; ///< Own peer address.
    steady_time startedAt{}; ///< When the process started.
    std::optional<endpoint> reader; ///< Named in the store; nothing if the key does not exist or can't be read.
    revision_number readerRevision; ///< Revision of that key; 0 if it does not exist.
    steady_time namedAt{}; ///< When this daemon learned of that reader.
    std::uint32_t silentAnswers = 0; ///< Successive requests to which that reader has not responded.
    std::uint32_t claims = 0; ///< Attempts to become the reader.
    bool claimed = false; ///< Whether this daemon is the reader.
    bool storeAnswers = true; ///< Whether the store has answered the last call about the reader.
};

} // namespace quetzalspool

#endif // START_BASE_H
