/** @file mirror_codec.cpp Encoding of change responses as MessagePack arrays. */
#include "mirror_func.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::size_t fieldsWithoutVersion = 4; ///< Fields of a response of a daemon that does not name its version.
constexpr std::size_t plainFields = 4; ///< Fields of a change; a packed value adds its base and its bytes.

json formatUpdate(const mirror_update &update)
{
    json changes = json::array();
    for (const auto &change : update.changes) {
        json row{change.key, change.value.text, change.value.revision.value, change.value.removed};
        if (change.packed) {
            row.push_back(change.packed->base.value);
            row.push_back(json::binary({change.packed->bytes.begin(), change.packed->bytes.end()}));
        }
        changes.push_back(std::move(row));
    }
    return {update.snapshot, update.revision.value, update.digest, std::move(changes)};
}

mirror_update parseUpdate(const json &row)
{
    mirror_update update;
    update.snapshot = row.at(0).get<bool>();
    update.revision.value = row.at(1).get<std::int64_t>();
    update.digest = row.at(2).get<std::uint64_t>();
    for (const auto &change : row.at(3)) {
        update.changes.push_back(
            {change.at(0).get<std::string>(),
             {change.at(1).get<std::string>(), {change.at(2).get<std::int64_t>()}, change.at(3).get<bool>()}});
        if (change.size() > plainFields) {
            const auto &bytes = change.at(plainFields + 1).get_binary();
            update.changes.back().packed = {{change.at(plainFields).get<std::int64_t>()}, {bytes.begin(), bytes.end()}};
        }
    }
    return update;
}

} // namespace

std::string encodeChanges(const changes_response &response)
{
    json updates = json::array();
    for (const auto &update : response.updates) {
        updates.push_back(formatUpdate(update));
    }
    std::string bytes;
    json::to_msgpack(json{std::move(updates), response.verifiedOffset.count(), response.entryRevision.value,
                          response.watermarkOffset.count(), response.version},
                     bytes);
    return bytes;
}

std::optional<changes_response> decodeChanges(std::string_view bytes, last_reason &why)
{
    try {
        const auto body = json::from_msgpack(bytes);
        changes_response response;
        for (const auto &row : body.at(0)) {
            response.updates.push_back(parseUpdate(row));
        }
        response.verifiedOffset = milliseconds(body.at(1).get<std::int64_t>());
        response.entryRevision.value = body.at(2).get<std::int64_t>();
        response.watermarkOffset = milliseconds(body.at(3).get<std::int64_t>());
        response.version = body.size() > fieldsWithoutVersion ? body.at(fieldsWithoutVersion).get<std::uint64_t>() : 0;
        return response;
    } catch (const json::exception &error) {
        return failed(why, "decode a changes response", "", error.what());
    }
}

} // namespace quetzalspool
