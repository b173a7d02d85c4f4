/** @file record_codec.h JSON encoding of members, for the formats that contain them. Internal to the package. */
#ifndef RECORD_CODEC_H
#define RECORD_CODEC_H

#include "record_base.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

/**
 * Encodes a member as JSON.
 * @param member Member.
 * @return JSON value.
 */
nlohmann::json memberToJson(const cell_member &member);

/**
 * Decodes a member from JSON.
 * @param from JSON value.
 * @return Member; throws std::exception if a field is missing, of the wrong type or out of range.
 */
cell_member memberFromJson(const nlohmann::json &from);

} // namespace quetzalspool

#endif // RECORD_CODEC_H
