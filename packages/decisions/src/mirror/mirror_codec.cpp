/** @file mirror_codec.cpp Encoding of change responses as MessagePack arrays. */
#include "checked_json.h"
#include "mirror_func.h"

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::size_t fieldsWithoutVersion = 4; ///< Fields of a response of a daemon that does not name its version.
constexpr std::size_t plainFields = 4; ///< Fields of a change; a packed value adds its base and its bytes.
constexpr std::chrono::hours maxOffset{24 * 366 * 30}; ///< Longest time between a request and a time in its response:
                                                       ///< as long as a machine may run.

revision_number readRevision(const json &from)
{
    return {readNumber<std::int64_t>(from, 0)};
}

milliseconds readOffset(const json &from)
{
    const std::int64_t most = milliseconds(maxOffset).count();
    return milliseconds(readNumber<std::int64_t>(from, -most, most));
}

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
    update.revision = readRevision(row.at(1));
    update.digest = readNumber<std::uint64_t>(row.at(2));
    for (const auto &change : row.at(3)) {
        update.changes.push_back(
            {change.at(0).get<std::string>(),
             {change.at(1).get<std::string>(), readRevision(change.at(2)), change.at(3).get<bool>()}});
        if (change.size() > plainFields) {
            const auto &bytes = change.at(plainFields + 1).get_binary();
            update.changes.back().packed = {readRevision(change.at(plainFields)), {bytes.begin(), bytes.end()}};
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
        const auto body = parseMessagePack(bytes);
        changes_response response;
        for (const auto &row : body.at(0)) {
            response.updates.push_back(parseUpdate(row));
        }
        response.verifiedOffset = readOffset(body.at(1));
        response.entryRevision = readRevision(body.at(2));
        response.watermarkOffset = readOffset(body.at(3));
        response.version =
            body.size() > fieldsWithoutVersion ? readNumber<std::uint64_t>(body.at(fieldsWithoutVersion)) : 0;
        return response;
    } catch (const std::exception &error) {
        return failed(why, "decode a changes response", "", error.what());
    }
}

} // namespace quetzalspool
