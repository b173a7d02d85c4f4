/** @file edits.cpp Operators' changes, written with their audit entries in one transaction. */
#include "edits.h"

#include "catalog_func.h"
#include "edit_func.h"
#include "log_func.h"
#include "row_func.h"
#include "spread.h"
#include "store_sync.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <sstream>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr int writeAttempts = 4; ///< A change is planned anew this often if unrelated rows moved under it.

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

/** UTC time of day and a sortable stamp. */
struct wall_time
{
    std::chrono::minutes ofDay{0}; ///< Since midnight.
    std::string stamp; ///< ISO 8601 with milliseconds.
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

std::optional<table_edit> readEdit(const json &body, last_reason &why)
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

current_tables tablesOf(const catalog_state &catalog)
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
    // An audit entry of the same name would be an earlier try of this very change.
    request.compares.push_back({prefix + auditKey, {}});
    request.puts.push_back({prefix + auditKey, audit});
    return request;
}

http_response refusalReply(const edit_result &verdict)
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

/** Writes an audit entry about a refused change. Its loss changes nothing, so the outcome is not awaited twice. */
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

/** After an unclear answer: whether the audit entry, and with it the change, is in the store. */
asio::awaitable<std::optional<revision_number>> readBack(control_state &control, std::string auditKey, last_reason &why)
{
    const auto found = co_await readRange(control.store, std::string(storePrefix) + auditKey, true, why);
    if (!found) {
        co_return std::nullopt;
    }
    co_return found->values.empty() ? revision_number{0} : found->values.front().revision;
}

/** How one try to write a change ended. */
enum class write_state
{
    written, ///< It is in the store.
    changed, ///< Something it relies on changed; plan anew.
    unclear, ///< Neither could be found out.
};

struct write_end
{
    write_state state = write_state::unclear; ///< How it ended.
    revision_number revision; ///< Revision, if written.
    last_reason why; ///< Why it is unclear.
};

asio::awaitable<write_end> writePlan(control_state &control, edit_plan plan, std::string auditKey, std::string audit)
{
    write_end end;
    const auto request = toTransaction(plan, auditKey, audit);
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const auto result = co_await commit(control.store, request, end.why);
        if (result && result->succeeded) {
            end.state = write_state::written;
            end.revision = result->revision;
            co_return end;
        }
        // A lost answer, or a compare that failed because an earlier try of this change is already there.
        const auto found = co_await readBack(control, auditKey, end.why);
        if (found && found->value > 0) {
            end.state = write_state::written;
            end.revision = *found;
            co_return end;
        }
        if (result) {
            end.state = write_state::changed;
            co_return end;
        }
        // Unclear and not there: the same transaction may be sent again, since its compares let it in only once.
        co_await sleepFor(milliseconds(50));
    }
    co_return end;
}

/** Reads the tables anew, since another daemon may have changed them a moment ago. Cell records are not read. */
asio::awaitable<bool> refreshTables(control_state &control, last_reason &why)
{
    for (const auto *table : {"routes/", "pools/", "rules/", guardPrefix}) {
        const auto rows = co_await readRange(control.store, std::string(storePrefix) + table, false, why);
        if (!rows) {
            co_return false;
        }
        for (const auto &value : rows->values) {
            takeStored(control, value);
        }
    }
    co_return true;
}

asio::awaitable<http_response> propose(control_state &control, table_edit edit, std::vector<row_change> changes)
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

asio::awaitable<http_response> runEdit(control_state &control, table_edit edit, bool dryRun, bool approved)
{
    last_reason why;
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const bool fresh = co_await refreshTables(control, why);
        if (!fresh) {
            co_return jsonResponse(503, json{{"outcome", "not-applied"}, {"reason", describe(why)}}.dump());
        }
        const auto wall = wallTime(std::chrono::system_clock::now());
        auto verdict = planEdit(tablesOf(control.catalog), control.guards, edit, wall.ofDay);
        if (!verdict.plan) {
            logEvent(log_level::warn, "edit-refused", {{"operator", edit.operatorName}, {"reason", verdict.text}});
            co_await auditRefusal(control, edit, nameOf(verdict.refused));
            co_return refusalReply(verdict);
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
            co_return co_await propose(control, edit, changes);
        }
        const auto auditKey = makeAuditKey(control, wall.stamp);
        auto audit = auditEntry("accepted", edit, changes, wall.stamp, control.shared->settings.instance.value);
        const auto end = co_await writePlan(control, std::move(*verdict.plan), auditKey, std::move(audit));
        if (end.state == write_state::written) {
            co_await refreshTables(control, why);
            logEvent(log_level::info, "edit-accepted",
                     {{"operator", edit.operatorName}, {"revision", std::to_string(end.revision.value)}});
            co_return jsonResponse(
                200,
                json{{"outcome", "accepted"}, {"revision", end.revision.value}, {"changes", changesToJson(changes)}}
                    .dump());
        }
        if (end.state == write_state::unclear) {
            co_return jsonResponse(
                504, json{{"outcome", "unclear"}, {"audit", auditKey}, {"reason", describe(end.why)}}.dump());
        }
        // Without a base from the operator, rows that changed meanwhile are a conflict from the second try on.
        for (const auto &change : changes) {
            edit.bases.try_emplace(change.key, change.revision);
        }
    }
    co_return jsonResponse(409, json{{"outcome", "conflict"}, {"reason", "the tables keep changing"}}.dump());
}

} // namespace

asio::awaitable<http_response> applyEdit(control_state &control, std::string body)
{
    const auto parsed = json::parse(body, nullptr, false);
    last_reason why;
    if (!parsed.is_object()) {
        co_return jsonResponse(400, R"({"outcome":"invalid","reason":"the body is no JSON object"})");
    }
    std::optional<table_edit> edit;
    try {
        edit = readEdit(parsed, why);
    } catch (const json::exception &error) {
        failed(why, "read the change", "", error.what());
    }
    if (!edit) {
        co_return jsonResponse(400, json{{"outcome", "invalid"}, {"reason", describe(why)}}.dump());
    }
    edit->approver.clear();
    co_return co_await runEdit(control, std::move(*edit), parsed.value("dry_run", false), false);
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
    auto edit = readEdit(json::parse(found->values.front().value), why);
    const auto approver = parsed.value("operator", "");
    const auto rules = control.shared->routing.load()->rules;
    if (!edit || approver == edit->operatorName || !isOperator(rules, approver, sha256Hex(parsed.value("key", "")))) {
        if (edit) {
            edit->approver = approver;
            co_await auditRefusal(control, *edit, "approval-refused");
        }
        co_return jsonResponse(403, R"({"outcome":"operator-unknown","reason":"a second operator must approve"})");
    }
    edit->approver = approver;
    co_return co_await runEdit(control, std::move(*edit), false, true);
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
