/** @file record.cpp JSON format of cell records, and queries. */
#include "record_func.h"

#include "checked_json.h"
#include "record_codec.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

json votersToJson(const std::vector<cell_voter> &voters)
{
    auto list = json::array();
    for (const auto &voter : voters) {
        list.push_back({{"id", voter.id.value},
                        {"incarnation", voter.incarnation.value},
                        {"admitted", voter.admitted},
                        {"domain", voter.domain.value},
                        {"control", {voter.control.host, voter.control.port}}});
    }
    return list;
}

std::vector<cell_voter> votersFromJson(const json &from)
{
    std::vector<cell_voter> voters;
    for (const auto &row : from) {
        voters.push_back({{row.at("id").get<std::string>()},
                          {readNumber<std::uint64_t>(row.at("incarnation"))},
                          readNumber<std::uint64_t>(row.at("admitted")),
                          {row.at("domain").get<std::string>()},
                          {row.at("control").at(0), readNumber<std::uint16_t>(row.at("control").at(1))}});
    }
    return voters;
}

/** Encodes the slots of a pool, grouped by owner and fence to keep the value small. */
json slotsToJson(const std::vector<slot_assignment> &slots)
{
    std::map<std::pair<std::string, std::uint64_t>, json> groups;
    for (const auto &slot : slots) {
        auto &group = groups[{slot.owner.value, slot.fence.value}];
        group.push_back(slot.slot.value);
    }
    auto list = json::array();
    for (const auto &[key, numbers] : groups) {
        list.push_back({{"owner", key.first}, {"fence", key.second}, {"slots", numbers}});
    }
    return list;
}

std::vector<slot_assignment> slotsFromJson(const json &from)
{
    std::vector<slot_assignment> slots;
    for (const auto &group : from) {
        const auto owner = group.at("owner").get<std::string>();
        const auto fence = readNumber<std::uint64_t>(group.at("fence"));
        for (const auto &number : group.at("slots")) {
            slots.push_back({{readNumber<std::uint32_t>(number)}, {owner}, {fence}});
        }
    }
    std::sort(slots.begin(), slots.end(), [](const auto &a, const auto &b) { return a.slot < b.slot; });
    return slots;
}

template <typename Rows>
auto *findById(Rows &rows, const instance_id &id)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const auto &row) { return row.id == id; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

json memberToJson(const cell_member &member)
{
    return {{"id", member.id.value},
            {"incarnation", member.incarnation.value},
            {"term", member.term.value},
            {"region", member.region.value},
            {"domain", member.domain.value},
            {"host", member.endpoints.host},
            {"ports", {member.endpoints.callers, member.endpoints.peers, member.endpoints.admin}},
            {"pool", member.target.pool.value},
            {"target", {member.target.address.host, member.target.address.port}},
            {"slots", member.target.slots},
            {"connections", member.target.connections},
            {"checks_grants", member.target.checksGrants},
            {"leaving", member.leaving}};
}

cell_member memberFromJson(const json &from)
{
    cell_member member;
    member.id.value = from.at("id").get<std::string>();
    member.incarnation.value = readNumber<std::uint64_t>(from.at("incarnation"));
    member.term.value = readNumber<std::uint64_t>(from.at("term"));
    member.region.value = from.at("region").get<std::string>();
    member.domain.value = from.at("domain").get<std::string>();
    const auto &ports = from.at("ports");
    member.endpoints = {from.at("host"), readNumber<std::uint16_t>(ports.at(0)), readNumber<std::uint16_t>(ports.at(1)),
                        readNumber<std::uint16_t>(ports.at(2))};
    member.target.pool.value = from.at("pool").get<std::string>();
    member.target.address = {from.at("target").at(0), readNumber<std::uint16_t>(from.at("target").at(1))};
    member.target.slots = readNumber<std::uint32_t>(from.at("slots"));
    member.target.connections = readNumber<std::uint32_t>(from.at("connections"));
    member.target.checksGrants = from.at("checks_grants");
    member.leaving = from.at("leaving");
    return member;
}

std::string formatRecord(const cell_record &record)
{
    json out{{"id", record.id.value},
             {"next_number", record.nextNumber},
             {"config", record.config.value},
             {"members", json::array()},
             {"voters", votersToJson(record.voters)},
             {"previous_voters", votersToJson(record.previousVoters)},
             {"pools", json::object()},
             {"write_id", record.writeId}};
    for (const auto &member : record.members) {
        out["members"].push_back(memberToJson(member));
    }
    for (const auto &[pool, slots] : record.pools) {
        out["pools"][pool.value] = slotsToJson(slots);
    }
    return out.dump();
}

std::optional<cell_record> parseRecord(std::string_view text, last_reason &why)
{
    try {
        const auto from = parseJson(text);
        cell_record record;
        record.id.value = from.at("id").get<std::string>();
        record.nextNumber = readNumber<std::uint64_t>(from.at("next_number"));
        record.config.value = readNumber<std::uint64_t>(from.at("config"));
        for (const auto &member : from.at("members")) {
            record.members.push_back(memberFromJson(member));
        }
        record.voters = votersFromJson(from.at("voters"));
        record.previousVoters = votersFromJson(from.at("previous_voters"));
        for (const auto &[pool, slots] : from.at("pools").items()) {
            record.pools[pool_id{pool}] = slotsFromJson(slots);
        }
        record.writeId = from.at("write_id");
        return record;
    } catch (const std::exception &error) {
        return failed(why, "read a cell record", "", error.what());
    }
}

const cell_member *findMember(const cell_record &record, const instance_id &id)
{
    return findById(record.members, id);
}

cell_member *findMember(cell_record &record, const instance_id &id)
{
    return findById(record.members, id);
}

const cell_voter *findVoter(const std::vector<cell_voter> &voters, const instance_id &id)
{
    return findById(voters, id);
}

cell_voter *findVoter(std::vector<cell_voter> &voters, const instance_id &id)
{
    return findById(voters, id);
}

std::vector<cell_voter> allVoters(const cell_record &record)
{
    auto voters = record.voters;
    for (const auto &voter : record.previousVoters) {
        if (findVoter(voters, voter.id) == nullptr) {
            voters.push_back(voter);
        }
    }
    return voters;
}

} // namespace quetzalspool
