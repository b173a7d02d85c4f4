/** @file stated_load.h Parsing of the load that a target states in its responses. */
#ifndef STATED_LOAD_H
#define STATED_LOAD_H

#include "target_notice.h"

#include <string_view>

namespace quetzalspool {

/**
 * Parses a stated load: three or four decimal numbers separated by commas or spaces: running, waiting, slots, and the
 * time that work takes in percent of the usual.
 * @param text Value of the header.
 * @return The load, or nothing if the value is malformed.
 */
std::optional<stated_load> parseStatedLoad(std::string_view text);

} // namespace quetzalspool

#endif // STATED_LOAD_H
