/** @file mirror_codec.cpp Encoding of change responses as MessagePack arrays. */
#include "checked_json.h"
#include "mirror_func.h"
#include "value_delta_func.h"

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

json formatUpdates(const std::vector<mirror_update> &updates)
{
    json rows = json::array();
    for (const auto &update : updates) {
        rows.push_back(formatUpdate(update));
    }
    return rows;
}

/** Restores the rows of updates that packUpdates has compressed. */
json unpackRows(const json &from)
{
    const auto &packed = from.get_binary();
    const auto rows = unpackValue({reinterpret_cast<const char *>(packed.data()), packed.size()}, "");
    if (!rows) {
        throw std::invalid_argument("compressed updates can't be restored");
    }
    return parseMessagePack(*rows);
}

std::vector<mirror_update> parseUpdates(const json &from)
{
    std::vector<mirror_update> updates;
    for (const auto &row : from.is_binary() ? unpackRows(from) : from) {
        updates.push_back(parseUpdate(row));
    }
    return updates;
}

} // namespace

std::string packUpdates(const std::vector<mirror_update> &updates)
{
    std::string rows;
    json::to_msgpack(formatUpdates(updates), rows);
    return rows.size() < minPackedBytes || rows.size() > maxPackedBytes ? "" : packValue(rows, "");
}

std::string encodeChanges(const changes_response &response)
{
    const auto &packed = response.packedUpdates;
    json updates = packed.empty() ? formatUpdates(response.updates) : json::binary({packed.begin(), packed.end()});
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
        response.updates = parseUpdates(body.at(0));
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
