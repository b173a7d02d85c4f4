/** @file roster_codec.cpp Entries of nodes and owners of keys as JSON. */
#include "record_codec.h"
#include "roster_func.h"

namespace quetzalspool {

namespace {

using json = nlohmann::json;

/** Whether runs follow each other without a gap, from the first slot to the last. */
bool coversPool(const std::vector<key_run> &runs)
{
    std::uint32_t expected = 0;
    for (const auto &run : runs) {
        if (run.first != expected || run.last < run.first) {
            return false;
        }
        expected = run.last + 1;
    }
    return expected == numericSlots;
}

} // namespace

std::string formatNode(const roster_node &node)
{
    auto value = memberToJson(node.member);
    value["target_id"] = node.life.id;
    value["target_born"] = node.life.born;
    return value.dump();
}

std::optional<roster_node> parseNode(std::string_view text, last_reason &why)
{
    try {
        const auto value = json::parse(text);
        return roster_node{memberFromJson(value),
                           {value.at("target_id").get<std::string>(), value.at("target_born").get<std::int64_t>()}};
    } catch (const json::exception &error) {
        return failed(why, "read an entry of a node", "", error.what());
    }
}

std::string formatRuns(const run_record &record)
{
    auto rows = json::array();
    for (const auto &run : record.runs) {
        rows.push_back({run.first, run.last, run.owner.value, run.life.id, run.life.born, run.fence.value, run.handover,
                        run.next.value});
    }
    return json{{"pool", record.pool.value}, {"runs", std::move(rows)}}.dump();
}

std::optional<run_record> parseRuns(std::string_view text, last_reason &why)
{
    try {
        const auto value = json::parse(text);
        run_record record;
        record.pool.value = value.at("pool").get<std::string>();
        for (const auto &row : value.at("runs")) {
            key_run run;
            run.first = row.at(0);
            run.last = row.at(1);
            run.owner.value = row.at(2).get<std::string>();
            run.life = {row.at(3).get<std::string>(), row.at(4).get<std::int64_t>()};
            run.fence.value = row.at(5);
            run.handover = row.at(6).get<std::string>();
            run.next.value = row.at(7).get<std::string>();
            record.runs.push_back(std::move(run));
        }
        if (!coversPool(record.runs)) {
            return failed(why, "read the owners of a pool", record.pool.value, "the runs don't cover the pool");
        }
        return record;
    } catch (const json::exception &error) {
        return failed(why, "read the owners of a pool", "", error.what());
    }
}

} // namespace quetzalspool
