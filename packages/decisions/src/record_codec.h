/** @file record_codec.h Members as JSON values, for the formats that contain them. Internal to the package. */
#ifndef RECORD_CODEC_H
#define RECORD_CODEC_H

#include "record_base.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

/**
 * Writes a member.
 * @param member Member.
 * @return JSON value.
 */
nlohmann::json memberToJson(const cell_member &member);

/**
 * Reads a member.
 * @param from JSON value.
 * @return The member; throws the library's exception if a field is missing or of another type.
 */
cell_member memberFromJson(const nlohmann::json &from);

} // namespace quetzalspool

#endif // RECORD_CODEC_H
