/** @file edit_cmd.cpp Validates an operator's change and plans its store transaction. */
#include "edit_func.h"
#include "row_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

const rules_row *findRules(const current_tables &tables)
{
    const auto found = tables.find("rules/changes");
    return found == tables.end() ? nullptr : std::get_if<rules_row>(&found->second.row);
}

edit_result refuse(edit_refusal refused, std::string text)
{
    return {std::nullopt, refused, std::move(text), {}};
}

bool matchesAnyPrefix(const std::vector<std::string> &prefixes, const std::string &key)
{
    return std::any_of(prefixes.begin(), prefixes.end(), [&](const auto &prefix) { return key.starts_with(prefix); });
}

bool isQuiet(const rules_row &rules, std::uint32_t minute)
{
    return std::any_of(rules.quiet.begin(), rules.quiet.end(), [&](const quiet_time &quiet) {
        if (quiet.fromMinute <= quiet.toMinute) {
            return minute >= quiet.fromMinute && minute < quiet.toMinute;
        }
        return minute >= quiet.fromMinute || minute < quiet.toMinute;
    });
}

/** Checks the operator, the permissions, the time of day and the number of rows against the rules. */
edit_result checkRules(const rules_row &rules, const table_edit &edit, std::chrono::minutes minuteOfDay)
{
    if (!isOperator(rules, edit.operatorName, edit.keyHash)) {
        return refuse(edit_refusal::operator_unknown, "no operator \"" + edit.operatorName + "\" with this key");
    }
    const auto own = std::find_if(rules.operators.begin(), rules.operators.end(),
                                  [&](const auto &row) { return row.name == edit.operatorName; });
    for (const auto &row : edit.rows) {
        if (!matchesAnyPrefix(own->mayChange, row.key)) {
            return refuse(edit_refusal::not_allowed, edit.operatorName + " has no permission to change " + row.key);
        }
    }
    if (isQuiet(rules, static_cast<std::uint32_t>(minuteOfDay.count()))) {
        return refuse(edit_refusal::quiet, "changes are not allowed at this time of day");
    }
    if (edit.rows.size() > rules.maxRows) {
        return refuse(edit_refusal::too_many,
                      "at most " + std::to_string(rules.maxRows) + " rows may be changed at once");
    }
    return {};
}

/** Returns the tables as they would be after the change. */
current_tables applyEdit(const current_tables &tables, const table_edit &edit)
{
    auto after = tables;
    for (const auto &row : edit.rows) {
        after[row.key].row = row.row;
    }
    return after;
}

const pool_row *findPool(const current_tables &tables, const pool_id &pool)
{
    const auto found = tables.find("pools/" + pool.value);
    return found == tables.end() ? nullptr : std::get_if<pool_row>(&found->second.row);
}

/**
 * Checks that every route has a pool that is keyed exactly if the route has a key, that no keyed pool reuses the name
 * of a removed one, and that keyed, slots and homes of a pool stay the same. Returns the first violation, or nothing.
 */
std::string findIntegrityViolation(const current_tables &before, const current_tables &after)
{
    for (const auto &[key, entry] : after) {
        if (const auto *route = std::get_if<route_row>(&entry.row)) {
            const auto *pool = findPool(after, route->pool);
            if (pool == nullptr) {
                return key + " refers to the pool \"" + route->pool.value + "\", which does not exist";
            }
            if (pool->keyed != (route->keyFrom != key_source::none)) {
                return key + " must set key_from if its pool is keyed, and only then";
            }
        }
        if (const auto *pool = std::get_if<pool_row>(&entry.row)) {
            const auto previous = before.find(key);
            const bool removed = previous != before.end() && std::holds_alternative<removed_row>(previous->second.row);
            if (removed && pool->keyed) {
                return key + " was removed and its slots may still be owned under that name; choose another name";
            }
            const auto *old = findPool(before, pool->name);
            if (old != nullptr
                && (old->keyed != pool->keyed || old->slots != pool->slots || old->homes != pool->homes)) {
                return key + ": keyed, slots and homes of a pool cannot be changed; create a new pool";
            }
        }
    }
    return {};
}

/** Collects the rows that the change modifies, and the conflicts: rows modified since the operator read them. */
void collectChanges(const current_tables &tables, const table_edit &edit, edit_plan &plan, edit_result &result)
{
    for (const auto &row : edit.rows) {
        const auto known = tables.find(row.key);
        row_change change{row.key, "", formatRow(row.row), {}};
        if (known != tables.end()) {
            change.before = formatRow(known->second.row);
            change.revision = known->second.revision;
        }
        const auto base = edit.bases.find(row.key);
        if (base != edit.bases.end() && base->second != change.revision) {
            result.conflicts.push_back(change);
        }
        const bool removesUnknownRow = known == tables.end() && std::holds_alternative<removed_row>(row.row);
        if (change.before != change.after && !removesUnknownRow) {
            plan.changes.push_back(std::move(change));
        }
    }
}

/**
 * Adds the conditions and guard keys that keep concurrent changes from leaving a route without its pool: a change of a
 * route writes the guard key of its pool, and the removal of a pool requires that its guard key is unchanged.
 */
void addReferenceGuards(const current_tables &tables, const std::map<std::string, revision_number> &guards,
                        const table_edit &edit, edit_plan &plan)
{
    for (const auto &row : edit.rows) {
        if (const auto *route = std::get_if<route_row>(&row.row)) {
            const auto key = "pools/" + route->pool.value;
            const auto known = tables.find(key);
            const bool edited = std::any_of(plan.changes.begin(), plan.changes.end(),
                                            [&](const auto &change) { return change.key == key; });
            if (known != tables.end() && !edited) {
                plan.conditions.push_back({key, known->second.revision});
            }
            plan.references.push_back(guardPrefix + route->pool.value);
        } else if (row.key.starts_with("pools/") && std::holds_alternative<removed_row>(row.row)) {
            const auto guard = guardPrefix + row.key.substr(std::string_view("pools/").size());
            const auto known = guards.find(guard);
            plan.conditions.push_back({guard, known == guards.end() ? revision_number{} : known->second});
        }
    }
}

} // namespace

bool isOperator(const rules_row &rules, const std::string &name, const std::string &keyHash)
{
    return std::any_of(rules.operators.begin(), rules.operators.end(),
                       [&](const auto &row) { return row.name == name && row.keyHash == keyHash; });
}

edit_result planEdit(const current_tables &tables, const std::map<std::string, revision_number> &guards,
                     const table_edit &edit, std::chrono::minutes minuteOfDay)
{
    const auto *rules = findRules(tables);
    if (rules != nullptr) {
        auto result = checkRules(*rules, edit, minuteOfDay);
        if (result.refused != edit_refusal::none) {
            return result;
        }
    }
    for (const auto &row : edit.rows) {
        last_reason why;
        if (!checkRow(row.key, row.row, why)) {
            return refuse(edit_refusal::invalid, describe(why));
        }
    }
    const auto violation = findIntegrityViolation(tables, applyEdit(tables, edit));
    if (!violation.empty()) {
        return refuse(edit_refusal::invalid, violation);
    }
    edit_result result;
    edit_plan plan;
    collectChanges(tables, edit, plan, result);
    if (!result.conflicts.empty()) {
        result.refused = edit_refusal::conflict;
        result.text = result.conflicts.front().key + " was changed after the revision that the change is based on";
        return result;
    }
    addReferenceGuards(tables, guards, edit, plan);
    if (rules != nullptr) {
        plan.needsApproval = std::any_of(plan.changes.begin(), plan.changes.end(), [&](const auto &change) {
            return matchesAnyPrefix(rules->needApproval, change.key);
        });
        // Fails if the rules are changed concurrently: they might not permit this change any more.
        plan.conditions.push_back({"rules/changes", tables.at("rules/changes").revision});
        std::erase_if(plan.conditions, [&](const auto &condition) {
            return std::any_of(plan.changes.begin(), plan.changes.end(),
                               [&](const auto &change) { return change.key == condition.key; });
        });
    }
    result.plan = std::move(plan);
    return result;
}

const char *nameOf(edit_refusal refused)
{
    switch (refused) {
    case edit_refusal::none:
        return "accepted";
    case edit_refusal::operator_unknown:
        return "operator-unknown";
    case edit_refusal::not_allowed:
        return "not-allowed";
    case edit_refusal::quiet:
        return "quiet-time";
    case edit_refusal::too_many:
        return "too-many-rows";
    case edit_refusal::invalid:
        return "invalid";
    case edit_refusal::conflict:
        return "conflict";
    }
    return "unknown";
}

} // namespace quetzalspool
