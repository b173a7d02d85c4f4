/** @file where.cpp The command `where`: where a request would go. */
#include "client_output.h"
#include "client_type.h"

#include <array>
#include <cstdio>
#include <iostream>
#include <sstream>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

/** Formats a number with two decimals; unknown ones as a dash. */
std::string formatNumber(const json &value)
{
    if (!value.is_number()) {
        return "-";
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value.get<double>());
    return text.data();
}

std::string joinTexts(const json &texts, const std::string &ifEmpty)
{
    std::string joined;
    for (const auto &text : texts) {
        joined += (joined.empty() ? "" : ", ") + text.get<std::string>();
    }
    return joined.empty() ? ifEmpty : joined;
}

std::string textOf(const json &from, const char *name)
{
    const auto value = from.value(name, json());
    return value.is_null() ? "-" : value.is_string() ? value.get<std::string>() : value.dump();
}

/** States of a candidate that matter to the choice. */
std::string describeStates(const json &candidate)
{
    json states = json::array();
    for (const auto *name : {"chosen", "cold", "leaving", "heard_leaving", "drained", "ejected"}) {
        if (candidate.value(name, json()) == true) {
            states.push_back(name);
        }
    }
    if (!candidate.value("allowed", true)) {
        states.push_back("not allowed");
    }
    return joinTexts(states, "");
}

json makeCandidateRows(const json &candidates)
{
    auto rows = json::array();
    for (const auto &candidate : candidates) {
        rows.push_back({{"instance", textOf(candidate, "instance")},
                        {"region", textOf(candidate, "region")},
                        {"failure_domain", textOf(candidate, "failure_domain")},
                        {"distance", textOf(candidate, "distance")},
                        {"load", formatNumber(candidate.value("load", json()))},
                        {"speed", formatNumber(candidate.value("speed", json()))},
                        {"report_age_ms", textOf(candidate, "report_age_ms")},
                        {"state", describeStates(candidate)}});
    }
    return rows;
}

std::string describeResult(const json &answer)
{
    if (answer.value("result", "") == "chosen") {
        auto text = "sent to " + textOf(answer, "chosen");
        if (answer.contains("next")) {
            text += ", which would refuse it; then to " + textOf(answer, "next");
        }
        return text;
    }
    auto text = "refused with " + textOf(answer, "status") + ": " + textOf(answer, "reason");
    if (answer.contains("retry_after")) {
        text += ", Retry-After " + textOf(answer, "retry_after");
    }
    return text;
}

std::string describeLocal(const json &local)
{
    auto text = textOf(local, "in_flight") + " of " + textOf(local, "slots") + " slots busy, " + textOf(local, "queued")
        + " of " + textOf(local, "queue") + " queued";
    if (local.value("cold", false)) {
        text += ", cold for " + textOf(local, "cold_ms") + " ms at " + textOf(local, "cold_per_s") + " per second";
    }
    if (!local.value("limit_per_s", json()).is_null()) {
        text += ", limit " + formatNumber(local.at("limit_per_s")) + " per second";
    }
    if (local.value("route_share", 1.0) < 1) {
        text += ", throttled to a share of " + formatNumber(local.at("route_share"));
    }
    if (local.contains("reason")) {
        text += ", would refuse: " + textOf(local, "reason");
    } else if (!local.value("admission", json()).is_null()) {
        text += ", would be " + textOf(local, "admission");
    }
    return text;
}

void formatRoute(std::ostream &out, const json &answer)
{
    const auto &route = answer.at("route");
    out << "route     " << textOf(route, "name") << ", prefix " << textOf(route, "prefix");
    const auto host = route.value("host", "");
    out << (host.empty() ? "" : ", host " + host) << "\n";
    const auto regions = answer.value("allowed_regions", json());
    out << "regions   " << (regions.is_null() ? "all" : joinTexts(regions, "none")) << "\n";
    if (!answer.value("callers", json::array()).empty()) {
        out << "callers   only " << joinTexts(answer.at("callers"), "") << "\n";
    }
    if (!answer.contains("pool")) {
        return;
    }
    out << "pool      " << textOf(answer, "pool") << (answer.value("keyed", false) ? ", keyed" : "");
    for (const auto &share : answer.value("shares", json::array())) {
        out << "; weight " << textOf(share, "weight") << " " << textOf(share, "pool");
    }
    out << "\nrequest   " << textOf(answer, "class") << (answer.value("idempotent", false) ? ", idempotent" : "")
        << ", rank " << textOf(answer, "rank") << ", deadline " << textOf(answer, "deadline_ms") << " ms\n";
    if (answer.value("keyed", false)) {
        out << "key       " << textOf(answer, "key") << ", slot " << textOf(answer, "slot") << ", owner "
            << textOf(answer, "owner") << ", fence " << textOf(answer, "fence") << ", revision "
            << textOf(answer, "revision") << "\n";
    }
    if (answer.contains("local")) {
        out << "local     " << describeLocal(answer.at("local")) << "\n";
    }
}

} // namespace

std::string formatWhere(const json &answer)
{
    std::ostringstream out;
    out << "result    " << describeResult(answer) << "\n";
    out << "asked     " << textOf(answer, "instance") << ", tables " << textOf(answer, "tables") << "\n";
    if (answer.contains("route")) {
        formatRoute(out, answer);
    }
    return out.str();
}

int showWhere(const client_options &options)
{
    const auto &asked = options.asked;
    auto query = "/v1/where?path=" + percentEncode(options.arguments[1]) + "&method=" + percentEncode(asked.method);
    query += asked.host.empty() ? "" : "&host=" + percentEncode(asked.host);
    query += asked.key ? "&key=" + percentEncode(*asked.key) : "";
    last_reason why;
    const auto response = requestDaemon(options.daemon, "GET", query, {}, why);
    if (!response) {
        return reportFailure(why);
    }
    const auto &answer = response->body;
    if (!answer.is_object() || !answer.contains("result")) {
        // An earlier daemon answers with 404 or, with a roster, with its metrics.
        const auto reason = answer.is_object() ? answer.value("reason", "") : std::string();
        why.text = reason.empty() ? "the daemon does not support /v1/where; it may be an earlier version" : reason;
        return reportFailure(why);
    }
    if (options.json) {
        std::cout << answer.dump() << "\n";
        return exitCodeFor(response->status);
    }
    std::cout << formatWhere(answer);
    if (const auto candidates = answer.value("candidates", json::array()); !candidates.empty()) {
        std::cout << "\n";
        printTable(makeCandidateRows(candidates),
                   {"instance", "region", "failure_domain", "distance", "load", "speed", "report_age_ms", "state"});
    }
    if (const auto omitted = answer.value("omitted", 0U); omitted > 0) {
        std::cout << "and " << omitted << " more\n";
    }
    return exitCodeFor(response->status);
}

} // namespace quetzalspool
