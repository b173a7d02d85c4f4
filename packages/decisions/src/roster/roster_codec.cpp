/** @file roster_codec.cpp JSON encoding of node entries and of ownership records. */
#include "checked_json.h"
#include "record_codec.h"
#include "roster_func.h"

#include <arpa/inet.h>
#include <map>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

/** Whether ranges follow each other without a gap, from the first slot of a pool to the last. */
bool coversPool(const std::vector<slot_range> &ranges)
{
    std::uint32_t expected = 0;
    for (const auto &range : ranges) {
        if (range.first != expected || range.last < range.first) {
            return false;
        }
        expected = range.last + 1;
    }
    return expected == numericSlots;
}

target_incarnation readIncarnation(const json &name, const json &startedUnixMs)
{
    return {name.get<std::string>(), readNumber<std::int64_t>(startedUnixMs)};
}

/** Reads how long the target was cold. Entries of earlier versions, and of targets that were not cold, don't say. */
milliseconds readColdTime(const json &value)
{
    return milliseconds(readNumberOr<std::uint32_t>(value, "target_cold_ms", 0));
}

bool isIpAddress(const std::string &text)
{
    in6_addr ignored{};
    return inet_pton(AF_INET, text.c_str(), &ignored) == 1 || inet_pton(AF_INET6, text.c_str(), &ignored) == 1;
}

/** Checks that others can reach a node and its target, which has no address before its first report. */
void requireReachable(const roster_node &node)
{
    const auto &member = node.member;
    const auto peers = peerEndpoint(member);
    const auto &target = member.target.address;
    if (member.id.value.empty()) {
        throw std::invalid_argument("no name");
    }
    if (!isIpAddress(peers.host) || peers.port == 0) {
        throw std::invalid_argument("no address of the daemon");
    }
    const bool hasTarget = !node.targetIncarnation.id.empty();
    if (hasTarget && (!isIpAddress(target.host) || target.port == 0)) {
        throw std::invalid_argument("no address of the target");
    }
}

/** Parses [slot count, owner index, fence], optionally followed by the handover token and by the next owner. */
slot_range readRange(const json &row, const json &owners, std::uint32_t first)
{
    const auto slots = readNumber<std::uint32_t>(row.at(0), 1, numericSlots - first);
    const auto &owner = owners.at(readNumber<std::size_t>(row.at(1)));
    slot_range range;
    range.first = first;
    range.last = first + slots - 1;
    range.owner.value = owner.at(0).get<std::string>();
    range.incarnation = readIncarnation(owner.at(1), owner.at(2));
    range.fence.value = readNumber<std::uint64_t>(row.at(2));
    range.handover = row.size() > 3 ? row.at(3).get<std::string>() : "";
    range.nextOwner.value = row.size() > 4 ? row.at(4).get<std::string>() : "";
    return range;
}

/** Parses the format of earlier versions, which a store may still contain: each row has its owner in full. */
slot_range readLegacyRange(const json &row)
{
    slot_range range;
    range.first = readNumber<std::uint32_t>(row.at(0), 0, numericSlots - 1);
    range.last = readNumber<std::uint32_t>(row.at(1), 0, numericSlots - 1);
    range.owner.value = row.at(2).get<std::string>();
    range.incarnation = readIncarnation(row.at(3), row.at(4));
    range.fence.value = readNumber<std::uint64_t>(row.at(5));
    range.handover = row.at(6).get<std::string>();
    range.nextOwner.value = row.at(7).get<std::string>();
    return range;
}

} // namespace

std::string formatNode(const roster_node &node)
{
    auto value = memberToJson(node.member);
    value["target_id"] = node.targetIncarnation.id;
    value["target_born"] = node.targetIncarnation.startedUnixMs;
    if (node.targetColdFor > milliseconds(0)) {
        value["target_cold_ms"] = node.targetColdFor.count();
    }
    return value.dump();
}

std::optional<roster_node> parseNode(std::string_view text, last_reason &why)
{
    try {
        const auto value = parseJson(text);
        roster_node node{memberFromJson(value), readIncarnation(value.at("target_id"), value.at("target_born")),
                         readColdTime(value)};
        requireReachable(node);
        return node;
    } catch (const std::exception &error) {
        return failed(why, "parse a node entry", "", error.what());
    }
}

std::string formatOwnership(const ownership_record &record)
{
    auto owners = json::array();
    std::map<std::pair<instance_id, target_incarnation>, std::size_t> known;
    const auto indexOf = [&](const instance_id &owner, const target_incarnation &incarnation) {
        const auto [entry, isNew] = known.try_emplace({owner, incarnation}, known.size());
        if (isNew) {
            owners.push_back({owner.value, incarnation.id, incarnation.startedUnixMs});
        }
        return entry->second;
    };
    auto rows = json::array();
    for (const auto &range : record.ranges) {
        json row{range.last - range.first + 1, indexOf(range.owner, range.incarnation), range.fence.value};
        if (!range.handover.empty() || !range.nextOwner.value.empty()) {
            row.push_back(range.handover);
        }
        if (!range.nextOwner.value.empty()) {
            row.push_back(range.nextOwner.value);
        }
        rows.push_back(std::move(row));
    }
    // "runs" holds the slot ranges; stored records fix the name.
    json value{{"pool", record.pool.value}, {"owners", std::move(owners)}, {"runs", std::move(rows)}};
    if (record.era.value > 0) {
        value["era"] = record.era.value;
    }
    return value.dump();
}

std::optional<ownership_record> parseOwnership(std::string_view text, last_reason &why)
{
    try {
        const auto value = parseJson(text);
        ownership_record record;
        record.pool.value = value.at("pool").get<std::string>();
        record.era.value = readNumberOr<std::int64_t>(value, "era", 0);
        std::uint32_t first = 0;
        for (const auto &row : readList(value, "runs")) {
            record.ranges.push_back(value.contains("owners") ? readRange(row, readList(value, "owners"), first)
                                                             : readLegacyRange(row));
            first = record.ranges.back().last + 1;
        }
        if (record.pool.value.empty() || !coversPool(record.ranges)) {
            return failed(why, "parse the owners of a pool", "", "no pool, or slot ranges that do not cover it");
        }
        return record;
    } catch (const std::exception &error) {
        return failed(why, "parse the owners of a pool", "", error.what());
    }
}

} // namespace quetzalspool
