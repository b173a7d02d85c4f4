/** @file edits.cpp Operators' changes of the tables, written with their audit entries in one transaction. */
#include "edits.h"

#include "catalog_func.h"
#include "document_gossip.h"
#include "edit_func.h"
#include "elapsed_clock.h"
#include "log_func.h"
#include "row_func.h"
#include "store_sync.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <sstream>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr int writeAttempts = 4; ///< Attempts to plan and to write a change, since rows may change concurrently.

std::string sha256Hex(const std::string &text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest);
    std::ostringstream out;
    for (const auto byte : digest) {
        out << std::hex << std::setw(2) << std::setfill('0') << static_cast<int>(byte);
    }
    return out.str();
}

/** A point in time, UTC. */
struct wall_time
{
    std::chrono::minutes timeOfDay{0}; ///< Time since midnight.
    std::string stamp; ///< ISO 8601 with milliseconds; sorts by time.
};

wall_time wallTime(std::chrono::system_clock::time_point now)
{
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::ostringstream out;
    out << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S.") << std::setw(3) << std::setfill('0') << ms << 'Z';
    return {std::chrono::minutes(utc.tm_hour * 60 + utc.tm_min), out.str()};
}

std::optional<table_edit> parseEdit(const json &body, last_reason &why)
{
    table_edit edit;
    edit.operatorName = body.value("operator", "");
    edit.keyHash = body.contains("key_hash") ? body.value("key_hash", "") : sha256Hex(body.value("key", ""));
    edit.reason = body.value("reason", "");
    edit.approver = body.value("approver", "");
    for (const auto &entry : body.value("rows", json::array())) {
        const auto key = entry.value("key", "");
        auto row = parseRow(key, entry.value("row", json::object()).dump(), why);
        if (!row) {
            return std::nullopt;
        }
        edit.rows.push_back({key, std::move(*row), 0});
    }
    const auto bases = body.value("bases", json::object());
    for (const auto &[key, revision] : bases.items()) {
        edit.bases[key] = {revision.get<std::int64_t>()};
    }
    return edit;
}

json editToJson(const table_edit &edit)
{
    json body{{"operator", edit.operatorName}, {"key_hash", edit.keyHash}, {"reason", edit.reason}};
    body["rows"] = json::array();
    for (const auto &row : edit.rows) {
        body["rows"].push_back({{"key", row.key}, {"row", json::parse(formatRow(row.row))}});
    }
    body["bases"] = json::object();
    for (const auto &[key, revision] : edit.bases) {
        body["bases"][key] = revision.value;
    }
    return body;
}

json changesToJson(const std::vector<row_change> &changes)
{
    auto list = json::array();
    for (const auto &change : changes) {
        list.push_back({{"key", change.key},
                        {"before", change.before.empty() ? json() : json::parse(change.before)},
                        {"after", json::parse(change.after)},
                        {"revision", change.revision.value}});
    }
    return list;
}

current_tables parseTables(const catalog_state &catalog)
{
    current_tables tables;
    for (const auto &[key, known] : catalog.documents) {
        last_reason why;
        if (key.starts_with("cells/")) {
            continue;
        }
        if (auto row = parseRow(key, *known.value, why)) {
            tables[key] = {std::move(*row), known.revision};
        }
    }
    return tables;
}

txn_request toTransaction(const edit_plan &plan, const std::string &auditKey, const std::string &audit)
{
    const std::string prefix = storePrefix;
    txn_request request;
    for (const auto &change : plan.changes) {
        request.compares.push_back({prefix + change.key, change.revision});
        request.puts.push_back({prefix + change.key, change.after});
    }
    for (const auto &condition : plan.conditions) {
        request.compares.push_back({prefix + condition.key, condition.revision});
    }
    for (const auto &guard : plan.references) {
        request.puts.push_back({prefix + guard, auditKey});
    }
    // If the audit entry exists, an earlier attempt has already committed this change.
    request.compares.push_back({prefix + auditKey, {}});
    request.puts.push_back({prefix + auditKey, audit});
    return request;
}

http_response refusalResponse(const edit_result &verdict)
{
    const json body{{"outcome", nameOf(verdict.refused)},
                    {"reason", verdict.text},
                    {"conflicts", changesToJson(verdict.conflicts)}};
    const bool denied =
        verdict.refused == edit_refusal::operator_unknown || verdict.refused == edit_refusal::not_allowed;
    const unsigned status = denied ? 403 : verdict.refused == edit_refusal::conflict ? 409 : 422;
    return jsonResponse(status, body.dump());
}

std::string auditEntry(const std::string &outcome, const table_edit &edit, const std::vector<row_change> &changes,
                       const std::string &stamp, const std::string &instance)
{
    const json entry{{"at", stamp},
                     {"operator", edit.operatorName},
                     {"approver", edit.approver},
                     {"reason", edit.reason},
                     {"outcome", outcome},
                     {"instance", instance},
                     {"changes", changesToJson(changes)}};
    return entry.dump();
}

std::string makeAuditKey(control_state &control, const std::string &stamp)
{
    return "audit/" + stamp + "-" + control.shared->settings.instance.value + "-" + std::to_string(control.random());
}

/** Writes an audit entry about a refused change. A failed write is only logged: its loss changes no table. */
asio::awaitable<void> auditRefusal(control_state &control, table_edit edit, std::string outcome)
{
    const auto stamp = wallTime(std::chrono::system_clock::now()).stamp;
    const auto key = makeAuditKey(control, stamp);
    const auto entry = auditEntry(outcome, edit, {}, stamp, control.shared->settings.instance.value);
    txn_request request{{}, {{std::string(storePrefix) + key, entry}}};
    last_reason why;
    const auto written = co_await commit(control.store, std::move(request), why);
    if (!written) {
        logEvent(log_level::warn, "audit-unwritten", {{"reason", describe(why)}});
    }
}

/** Reads the revision of an audit entry, and so of its change: 0 if not in the store, nothing if the read failed. */
asio::awaitable<std::optional<revision_number>> readAuditRevision(control_state &control, std::string auditKey,
                                                                  last_reason &why)
{
    const auto found = co_await readRange(control.store, std::string(storePrefix) + auditKey, true, why);
    if (!found) {
        co_return std::nullopt;
    }
    co_return found->values.empty() ? revision_number{0} : found->values.front().revision;
}

/** Status of an attempt to write a planned change. */
enum class plan_write_status
{
    written, ///< The change is in the store.
    conflicted, ///< A row that the plan relies on has changed: the change must be planned again.
    unclear, ///< Unknown whether the change is in the store.
};

/** Result of writing a planned change. */
struct plan_write_result
{
    plan_write_status state = plan_write_status::unclear; ///< Status.
    revision_number revision; ///< Revision of the change, if written.
    last_reason why; ///< Reason if the status is unclear.
};

asio::awaitable<plan_write_result> writePlan(control_state &control, edit_plan plan, std::string auditKey,
                                             std::string audit)
{
    plan_write_result outcome;
    const auto request = toTransaction(plan, auditKey, audit);
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const auto result = co_await commit(control.store, request, outcome.why);
        if (result && result->succeeded) {
            outcome.state = plan_write_status::written;
            outcome.revision = result->revision;
            co_return outcome;
        }
        // Either the response was lost, or a compare failed, possibly because an earlier attempt was committed.
        const auto found = co_await readAuditRevision(control, auditKey, outcome.why);
        if (found && found->value > 0) {
            outcome.state = plan_write_status::written;
            outcome.revision = *found;
            co_return outcome;
        }
        if (result) {
            outcome.state = plan_write_status::conflicted;
            co_return outcome;
        }
        // The change was not found, but may still be committed. The transaction can be sent again, since its compares
        // let it succeed only once.
        co_await sleepFor(milliseconds(50));
    }
    co_return outcome;
}

/** Reads the tables from the store, since another daemon may have just changed them. Cell records are not read. */
asio::awaitable<bool> refreshTables(control_state &control, last_reason &why)
{
    const auto startedAt = elapsed_clock::now();
    for (const auto *table : {"routes/", "pools/", "domains/", "rules/", guardPrefix}) {
        const auto rows = co_await readRange(control.store, std::string(storePrefix) + table, false, why);
        if (!rows) {
            co_return false;
        }
        for (const auto &value : rows->values) {
            applyStoredValue(control, value);
        }
    }
    control.storeKnownAt = std::max(control.storeKnownAt, startedAt);
    co_return true;
}

asio::awaitable<http_response> storeProposal(control_state &control, table_edit edit, std::vector<row_change> changes)
{
    const auto stamp = wallTime(std::chrono::system_clock::now()).stamp;
    const auto id = stamp + "-" + std::to_string(control.random() % 1000000);
    const auto key = std::string(storePrefix) + "proposals/" + id;
    txn_request request{{{key, {}}}, {{key, editToJson(edit).dump()}}};
    last_reason why;
    const auto result = co_await commit(control.store, std::move(request), why);
    if (!result || !result->succeeded) {
        co_return jsonResponse(503, json{{"outcome", "not-applied"}, {"reason", describe(why)}}.dump());
    }
    co_return jsonResponse(
        202, json{{"outcome", "needs-approval"}, {"proposal", id}, {"changes", changesToJson(changes)}}.dump());
}

asio::awaitable<http_response> executeEdit(control_state &control, table_edit edit, bool dryRun, bool approved)
{
    last_reason why;
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const bool refreshed = co_await refreshTables(control, why);
        if (!refreshed) {
            co_return jsonResponse(503, json{{"outcome", "not-applied"}, {"reason", describe(why)}}.dump());
        }
        const auto wall = wallTime(std::chrono::system_clock::now());
        auto verdict = planEdit(parseTables(control.catalog), control.guards, edit, wall.timeOfDay);
        if (!verdict.plan) {
            logEvent(log_level::warn, "edit-refused", {{"operator", edit.operatorName}, {"reason", verdict.text}});
            co_await auditRefusal(control, edit, nameOf(verdict.refused));
            co_return refusalResponse(verdict);
        }
        const auto changes = verdict.plan->changes;
        if (dryRun || changes.empty()) {
            co_return jsonResponse(200,
                                   json{{"outcome", dryRun ? "would-apply" : "unchanged"},
                                        {"needs_approval", verdict.plan->needsApproval},
                                        {"changes", changesToJson(changes)}}
                                       .dump());
        }
        if (verdict.plan->needsApproval && !approved) {
            co_return co_await storeProposal(control, edit, changes);
        }
        const auto auditKey = makeAuditKey(control, wall.stamp);
        auto audit = auditEntry("accepted", edit, changes, wall.stamp, control.shared->settings.instance.value);
        const auto outcome = co_await writePlan(control, std::move(*verdict.plan), auditKey, std::move(audit));
        if (outcome.state == plan_write_status::written) {
            co_await refreshTables(control, why);
            logEvent(log_level::info, "edit-accepted",
                     {{"operator", edit.operatorName}, {"revision", std::to_string(outcome.revision.value)}});
            co_return jsonResponse(
                200,
                json{{"outcome", "accepted"}, {"revision", outcome.revision.value}, {"changes", changesToJson(changes)}}
                    .dump());
        }
        if (outcome.state == plan_write_status::unclear) {
            co_return jsonResponse(
                504, json{{"outcome", "unclear"}, {"audit", auditKey}, {"reason", describe(outcome.why)}}.dump());
        }
        // Rows for which the operator gave no base revision conflict from the second attempt on if they changed
        // meanwhile.
        for (const auto &change : changes) {
            edit.bases.try_emplace(change.key, change.revision);
        }
    }
    co_return jsonResponse(409,
                           json{{"outcome", "conflict"}, {"reason", "the tables changed during every attempt"}}.dump());
}

} // namespace

asio::awaitable<http_response> applyEdit(control_state &control, std::string body)
{
    const auto parsed = json::parse(body, nullptr, false);
    last_reason why;
    if (!parsed.is_object()) {
        co_return jsonResponse(400, R"({"outcome":"invalid","reason":"the body must be a JSON object"})");
    }
    std::optional<table_edit> edit;
    try {
        edit = parseEdit(parsed, why);
    } catch (const json::exception &error) {
        failed(why, "read the change", "", error.what());
    }
    if (!edit) {
        co_return jsonResponse(400, json{{"outcome", "invalid"}, {"reason", describe(why)}}.dump());
    }
    edit->approver.clear();
    co_return co_await executeEdit(control, std::move(*edit), parsed.value("dry_run", false), false);
}

asio::awaitable<http_response> approveEdit(control_state &control, std::string body)
{
    const auto parsed = json::parse(body, nullptr, false);
    last_reason why;
    const auto id = parsed.is_object() ? parsed.value("proposal", "") : std::string();
    const auto found = co_await readRange(control.store, std::string(storePrefix) + "proposals/" + id, true, why);
    if (!found) {
        co_return jsonResponse(503, json{{"outcome", "not-applied"}, {"reason", describe(why)}}.dump());
    }
    if (id.empty() || found->values.empty()) {
        co_return jsonResponse(404, R"({"outcome":"invalid","reason":"no such proposal"})");
    }
    auto edit = parseEdit(json::parse(found->values.front().value), why);
    const auto approver = parsed.value("operator", "");
    const auto rules = control.shared->routing.load()->rules;
    if (!edit || approver == edit->operatorName || !isOperator(rules, approver, sha256Hex(parsed.value("key", "")))) {
        if (edit) {
            edit->approver = approver;
            co_await auditRefusal(control, *edit, "approval-refused");
        }
        co_return jsonResponse(
            403, R"({"outcome":"operator-unknown","reason":"the change must be approved by a second operator"})");
    }
    edit->approver = approver;
    co_return co_await executeEdit(control, std::move(*edit), false, true);
}

asio::awaitable<http_response> listStored(control_state &control, std::string prefix)
{
    last_reason why;
    const auto found = co_await readRange(control.store, std::string(storePrefix) + prefix, false, why);
    if (!found) {
        co_return jsonResponse(503, json{{"outcome", "unanswered"}, {"reason", describe(why)}}.dump());
    }
    auto list = json::array();
    for (const auto &value : found->values) {
        auto entry = json::parse(value.value, nullptr, false);
        entry["id"] = value.key.substr(std::string_view(storePrefix).size() + prefix.size());
        list.push_back(std::move(entry));
    }
    co_return jsonResponse(200, list.dump());
}

} // namespace quetzalspool
