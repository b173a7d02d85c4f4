/** @file row_codec.cpp Conversion of rows to and from JSON. */
#include "row_func.h"

#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

json toJson(const removed_row & /*row*/)
{
    return {{"removed", true}};
}

json toJson(const route_row &row)
{
    auto regions = json::array();
    for (const auto &region : row.regions) {
        regions.push_back(region.value);
    }
    static const char *const sources[] = {"none", "path", "header"};
    return {{"name", row.name},
            {"prefix", row.prefix},
            {"pool", row.pool.value},
            {"key_from", sources[static_cast<int>(row.keyFrom)]},
            {"key_segment", row.keySegment},
            {"key_header", row.keyHeader},
            {"class", row.kind == request_class::order ? "order" : "lookup"},
            {"idempotent_methods", row.idempotentMethods},
            {"deadline_ms", row.deadline.count()},
            {"max_body", row.maxBody},
            {"callers", row.callers},
            {"regions", regions}};
}

json toJson(const pool_row &row)
{
    auto homes = json::array();
    for (const auto &home : row.homes) {
        homes.push_back({{"cell", home.cell.value}, {"weight", home.weight}});
    }
    json out{{"name", row.name.value},
             {"keyed", row.keyed},
             {"slots", row.slots},
             {"homes", homes},
             {"weighs_churn", row.weighsChurn},
             {"moves_at_once", row.movesAtOnce},
             {"queue", row.queue},
             {"takeover_grace_ms", row.takeoverGrace.count()}};
    if (row.coldPerSecond > 0) {
        out["cold_per_s"] = row.coldPerSecond;
    }
    return out;
}

json toJson(const domain_row &row)
{
    return {{"name", row.name.value}, {"drained", row.drained}};
}

json toJson(const rules_row &row)
{
    json out{{"need_approval", row.needApproval}, {"max_rows", row.maxRows}};
    out["operators"] = json::array();
    for (const auto &entry : row.operators) {
        out["operators"].push_back(
            {{"name", entry.name}, {"key_hash", entry.keyHash}, {"may_change", entry.mayChange}});
    }
    out["quiet"] = json::array();
    for (const auto &quiet : row.quiet) {
        out["quiet"].push_back({quiet.fromMinute, quiet.toMinute});
    }
    return out;
}

table_row routeFromJson(const json &from)
{
    route_row row;
    row.name = from.at("name");
    row.prefix = from.at("prefix");
    row.pool.value = from.at("pool").get<std::string>();
    const auto source = from.at("key_from").get<std::string>();
    row.keyFrom = source == "path" ? key_source::path : source == "header" ? key_source::header : key_source::none;
    row.keySegment = from.at("key_segment");
    row.keyHeader = from.at("key_header");
    row.kind = from.at("class") == "order" ? request_class::order : request_class::lookup;
    row.idempotentMethods = from.at("idempotent_methods").get<std::vector<std::string>>();
    row.deadline = milliseconds(from.at("deadline_ms").get<std::int64_t>());
    row.maxBody = from.at("max_body");
    row.callers = from.at("callers").get<std::vector<std::string>>();
    for (const auto &region : from.value("regions", json::array())) { // Absent in rows of earlier versions.
        row.regions.push_back({region.get<std::string>()});
    }
    return row;
}

table_row poolFromJson(const json &from)
{
    pool_row row;
    row.name.value = from.at("name").get<std::string>();
    row.keyed = from.at("keyed");
    row.slots = from.at("slots");
    for (const auto &home : from.at("homes")) {
        row.homes.push_back({{home.at("cell").get<std::string>()}, home.at("weight")});
    }
    row.weighsChurn = from.at("weighs_churn");
    row.movesAtOnce = from.at("moves_at_once");
    row.queue = from.at("queue");
    row.takeoverGrace = milliseconds(from.at("takeover_grace_ms").get<std::int64_t>());
    row.coldPerSecond = from.value("cold_per_s", 0.0);
    return row;
}

table_row domainFromJson(const json &from)
{
    return domain_row{{from.at("name").get<std::string>()}, from.at("drained").get<bool>()};
}

table_row rulesFromJson(const json &from)
{
    rules_row row;
    for (const auto &entry : from.at("operators")) {
        row.operators.push_back(
            {entry.at("name"), entry.at("key_hash"), entry.at("may_change").get<std::vector<std::string>>()});
    }
    row.needApproval = from.at("need_approval").get<std::vector<std::string>>();
    for (const auto &quiet : from.at("quiet")) {
        row.quiet.push_back({quiet.at(0), quiet.at(1)});
    }
    row.maxRows = from.at("max_rows");
    return row;
}

} // namespace

std::string formatRow(const table_row &row)
{
    return std::visit([](const auto &typed) { return toJson(typed).dump(); }, row);
}

std::optional<table_row> parseRow(std::string_view key, std::string_view text, last_reason &why)
{
    try {
        const auto from = json::parse(text);
        if (from.value("removed", false)) {
            return removed_row{};
        }
        if (key.starts_with("routes/")) {
            return routeFromJson(from);
        }
        if (key.starts_with("pools/")) {
            return poolFromJson(from);
        }
        if (key.starts_with(domainPrefix)) {
            return domainFromJson(from);
        }
        if (key.starts_with("rules/")) {
            return rulesFromJson(from);
        }
        return failed(why, "parse a row", std::string(key), "unknown table");
    } catch (const json::exception &error) {
        return failed(why, "parse a row", std::string(key), error.what());
    }
}

} // namespace quetzalspool
