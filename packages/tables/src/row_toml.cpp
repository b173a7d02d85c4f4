/** @file row_toml.cpp Parsing of rows from an operator's TOML file, and validation of single rows. */
#include "row_func.h"
#include "toml_reader.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::int64_t maxDeadlineMs = 600000; ///< Ten minutes.
constexpr std::int64_t maxBodyBytes =
    1048576; ///< Request bodies are buffered in memory until they are sent to the target.
constexpr std::int64_t maxColdPerSecond = 1000000; ///< Maximum requests per second of a cold target.
constexpr std::int64_t maxSlots = 1048576; ///< Maximum slots of one pool.

key_source readKeySource(toml_reader &reader)
{
    const auto text = readString(reader, "key_from", "none");
    if (text == "path") {
        return key_source::path;
    }
    if (text == "header") {
        return key_source::header;
    }
    if (text != "none") {
        refuse(reader, reader.table.get("key_from")->source(), R"("key_from" must be "none", "path" or "header")");
    }
    return key_source::none;
}

request_class readClass(toml_reader &reader)
{
    const auto text = readString(reader, "class", "lookup");
    if (text != "lookup" && text != "order") {
        refuse(reader, reader.table.get("class")->source(), R"("class" must be "lookup" or "order")");
    }
    return text == "order" ? request_class::order : request_class::lookup;
}

table_row readRoute(toml_reader &reader)
{
    route_row row;
    row.name = readString(reader, "name");
    row.prefix = readString(reader, "prefix");
    row.pool.value = readString(reader, "pool");
    row.keyFrom = readKeySource(reader);
    row.keySegment = static_cast<std::uint32_t>(readNumber(reader, "key_segment", 0, 32, 0));
    row.keyHeader = readString(reader, "key_header", "");
    row.kind = readClass(reader);
    row.idempotentMethods = readStrings(reader, "idempotent_methods", row.idempotentMethods);
    row.deadline = milliseconds(readNumber(reader, "deadline_ms", 1, maxDeadlineMs, row.deadline.count()));
    row.maxBody = static_cast<std::uint64_t>(
        readNumber(reader, "max_body", 0, maxBodyBytes, static_cast<std::int64_t>(row.maxBody)));
    row.callers = readStrings(reader, "callers");
    for (auto &region : readStrings(reader, "regions")) {
        row.regions.push_back({std::move(region)});
    }
    return row;
}

std::vector<cell_share> readHomes(toml_reader &reader)
{
    reader.known.insert("homes");
    std::vector<cell_share> homes;
    const auto *node = reader.table.get("homes");
    const auto *table = node == nullptr ? nullptr : node->as_table();
    if (node != nullptr && table == nullptr) {
        refuse(reader, node->source(), "\"homes\" must be a table of cells with their weights");
        return homes;
    }
    if (table == nullptr) {
        return homes;
    }
    for (const auto &[cell, weight] : *table) {
        const auto value = weight.value_exact<std::int64_t>().value_or(0);
        if (value < 1 || value > 1000000) {
            refuse(reader, weight.source(), "a weight must be a whole number from 1 to 1000000");
        }
        homes.push_back({{std::string(cell.str())}, static_cast<std::uint32_t>(value)});
    }
    return homes;
}

table_row readPool(toml_reader &reader)
{
    pool_row row;
    row.name.value = readString(reader, "name");
    row.keyed = readBool(reader, "keyed", false);
    row.slots = static_cast<std::uint32_t>(readNumber(reader, "slots", 0, maxSlots, 0));
    row.homes = readHomes(reader);
    row.weighsChurn = readBool(reader, "weighs_churn", false);
    row.movesAtOnce = static_cast<std::uint32_t>(readNumber(reader, "moves_at_once", 1, 1000, row.movesAtOnce));
    row.queue = static_cast<std::uint32_t>(readNumber(reader, "queue", 0, 100000, row.queue));
    row.takeoverGrace = milliseconds(readNumber(reader, "takeover_grace_ms", 0, maxDeadlineMs, 0));
    row.coldPerSecond = static_cast<double>(readNumber(reader, "cold_per_s", 0, maxColdPerSecond, 0));
    return row;
}

table_row readDomain(toml_reader &reader)
{
    domain_row row;
    row.name.value = readString(reader, "name");
    row.drained = readBool(reader, "drained", false);
    return row;
}

operator_row readOperator(toml_reader &reader)
{
    operator_row row;
    row.name = readString(reader, "name");
    row.keyHash = readString(reader, "key_hash");
    row.mayChange = readStrings(reader, "may_change");
    refuseUnknown(reader);
    return row;
}

/** Parses "HH:MM-HH:MM". */
std::optional<quiet_time> parseQuietTime(const std::string &text)
{
    unsigned hours[2] = {};
    unsigned minutes[2] = {};
    if (std::sscanf(text.c_str(), "%2u:%2u-%2u:%2u", &hours[0], &minutes[0], &hours[1], &minutes[1]) != 4
        || hours[0] > 23 || hours[1] > 23 || minutes[0] > 59 || minutes[1] > 59) {
        return std::nullopt;
    }
    return quiet_time{hours[0] * 60 + minutes[0], hours[1] * 60 + minutes[1]};
}

table_row readRules(toml_reader &reader)
{
    rules_row row;
    row.needApproval = readStrings(reader, "need_approval");
    row.maxRows = static_cast<std::uint32_t>(readNumber(reader, "max_rows", 1, 10000, row.maxRows));
    for (const auto &text : readStrings(reader, "quiet")) {
        const auto quiet = parseQuietTime(text);
        if (!quiet) {
            refuse(reader, reader.table.get("quiet")->source(), "a quiet time must have the form \"22:00-05:30\"");
        }
        row.quiet.push_back(quiet.value_or(quiet_time{}));
    }
    reader.known.insert("operator");
    const auto *operators = reader.table["operator"].as_array();
    for (std::size_t index = 0; operators != nullptr && index < operators->size(); ++index) {
        const auto *table = (*operators)[index].as_table();
        if (table == nullptr) {
            refuse(reader, (*operators)[index].source(), "an operator must be a table");
            break;
        }
        toml_reader inner{*table, reader.file, reader.why};
        row.operators.push_back(readOperator(inner));
        reader.good = reader.good && inner.good;
    }
    return row;
}

std::string rowKey(const table_row &row)
{
    if (const auto *route = std::get_if<route_row>(&row)) {
        return "routes/" + route->name;
    }
    if (const auto *pool = std::get_if<pool_row>(&row)) {
        return "pools/" + pool->name.value;
    }
    if (const auto *domain = std::get_if<domain_row>(&row)) {
        return std::string(domainPrefix) + domain->name.value;
    }
    return "rules/changes";
}

/** Parses and validates one table of the file and appends its row. */
template <typename Read>
bool appendRow(const toml::node &node, const std::string &file, Read read, std::vector<keyed_row> &rows,
               last_reason &why)
{
    const auto *table = node.as_table();
    if (table == nullptr) {
        why = {"check", file + ":" + std::to_string(node.source().begin.line), "a table is expected"};
        return false;
    }
    toml_reader reader{*table, file, why};
    keyed_row row{"", read(reader), node.source().begin.line};
    refuseUnknown(reader);
    row.key = rowKey(row.row);
    if (reader.good && !checkRow(row.key, row.row, why)) {
        why.peer = file + ":" + std::to_string(row.line);
        return false;
    }
    const bool duplicate =
        std::any_of(rows.begin(), rows.end(), [&](const auto &other) { return other.key == row.key; });
    if (reader.good && duplicate) {
        refuse(reader, node.source(), row.key + " is given twice");
    }
    rows.push_back(std::move(row));
    return reader.good;
}

bool checkRoute(const route_row &row, last_reason &why)
{
    const char *text = nullptr;
    if (row.name.empty() || row.pool.value.empty()) {
        text = "a route needs a name and a pool";
    } else if (!row.prefix.starts_with("/")) {
        text = "a route's prefix must start with /";
    } else if (row.keyFrom == key_source::header && row.keyHeader.empty()) {
        text = "key_header is required with key_from = \"header\"";
    } else if (std::find(row.regions.begin(), row.regions.end(), region_id{}) != row.regions.end()) {
        text = "a region of a route needs a name";
    }
    if (text != nullptr) {
        failed(why, "check", "routes/" + row.name, text);
    }
    return text == nullptr;
}

bool checkPool(const pool_row &row, last_reason &why)
{
    const char *text = nullptr;
    if (row.name.value.empty()) {
        text = "a pool needs a name";
    } else if (row.keyed && (row.slots == 0 || row.homes.empty())) {
        text = "a keyed pool needs slots and homes";
    }
    if (text != nullptr) {
        failed(why, "check", "pools/" + row.name.value, text);
    }
    return text == nullptr;
}

/** Daemons act on the name in the key, so the name in the row must not differ from it. */
bool checkDomain(const std::string &key, const domain_row &row, last_reason &why)
{
    const char *text = nullptr;
    if (row.name.value.empty()) {
        text = "a domain needs a name";
    } else if (key != std::string(domainPrefix) + row.name.value) {
        text = "the name of a domain must be the one in its key";
    }
    if (text != nullptr) {
        failed(why, "check", key, text);
    }
    return text == nullptr;
}

using row_reader = table_row (*)(toml_reader &);

/** Function that reads the tables of an array; null if there is no such kind of row. */
row_reader readerOf(const std::string &kind)
{
    if (kind == "route") {
        return readRoute;
    }
    if (kind == "pool") {
        return readPool;
    }
    return kind == "domain" ? readDomain : nullptr;
}

} // namespace

std::optional<std::vector<keyed_row>> parseTables(std::string_view text, const std::string &file, last_reason &why)
{
    const auto parsed = parseToml(text, file, why);
    if (!parsed) {
        return std::nullopt;
    }
    const auto &table = *parsed;
    std::vector<keyed_row> rows;
    for (const auto &[name, node] : table) {
        const std::string kind(name.str());
        const auto *list = node.as_array();
        bool good = true;
        if (kind == "rules") {
            good = appendRow(node, file, readRules, rows, why);
        } else if (const auto read = readerOf(kind); read != nullptr && list != nullptr) {
            for (std::size_t index = 0; good && index < list->size(); ++index) {
                good = appendRow((*list)[index], file, read, rows, why);
            }
        } else {
            return failed(why, "check", file + ":" + std::to_string(name.source().begin.line),
                          "expected [[route]], [[pool]], [[domain]] or [rules], not \"" + kind + "\"");
        }
        if (!good) {
            return std::nullopt;
        }
    }
    return rows;
}

bool checkRow(const std::string &key, const table_row &row, last_reason &why)
{
    if (const auto *route = std::get_if<route_row>(&row)) {
        return checkRoute(*route, why);
    }
    if (const auto *pool = std::get_if<pool_row>(&row)) {
        return checkPool(*pool, why);
    }
    if (const auto *domain = std::get_if<domain_row>(&row)) {
        return checkDomain(key, *domain, why);
    }
    return key.starts_with("rules/") || std::holds_alternative<removed_row>(row);
}

} // namespace quetzalspool
