/** @file chart.cpp Parsing and running state charts. */
#include "chart_type.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <toml++/toml.h>

extern "C" {
extern const char quetzalspoolOutcomeChart[];
extern const char quetzalspoolMemberChart[];
extern const char quetzalspoolReassignmentChart[];
}

namespace quetzalspool {

namespace {

constexpr const char *parseStep = "read a state chart";

/**
 * Finds a name and appends it if it is absent.
 * @param names List of names.
 * @param name Name to find.
 * @return Its index.
 */
std::size_t findOrAppend(std::vector<std::string> &names, const std::string &name)
{
    auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        found = names.insert(names.end(), name);
    }
    return static_cast<std::size_t>(found - names.begin());
}

/**
 * Collects the distinct event names of a chart's transitions.
 * @param rows Transition tables.
 * @param into Receives the names.
 */
void collectEvents(const toml::array &rows, std::vector<std::string> &into)
{
    for (const auto &row : rows) {
        const auto *table = row.as_table();
        findOrAppend(into, table == nullptr ? std::string() : (*table)["event"].value_or(std::string()));
    }
}

/**
 * Parses an embedded chart. Aborts the process if it is invalid, since no decision is possible without it.
 * @param text TOML text of the chart.
 * @return The chart.
 */
chart loadEmbedded(const char *text)
{
    last_reason why;
    auto loaded = parseChart(text, why);
    if (!loaded) {
        std::fprintf(stderr, "%s\n", describe(why).c_str());
        std::abort();
    }
    return *loaded;
}

} // namespace

std::optional<chart> parseChart(std::string_view text, last_reason &why)
{
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error &error) {
        return failed(why, parseStep, "", std::string(error.description()));
    }
    chart result;
    result.name = table["name"].value_or(std::string());
    if (const auto *states = table["states"].as_array()) {
        for (const auto &state : *states) {
            result.states.push_back(state.value_or(std::string()));
        }
    }
    const auto *rows = table["transition"].as_array();
    if (result.states.empty() || rows == nullptr) {
        return failed(why, parseStep, result.name, "states and transitions are required");
    }
    collectEvents(*rows, result.events);
    result.next.assign(result.states.size() * result.events.size(), -1);
    for (const auto &row : *rows) {
        const auto &transition = *row.as_table();
        const auto event = findOrAppend(result.events, transition["event"].value_or(std::string()));
        const auto to = std::find(result.states.begin(), result.states.end(), transition["to"].value_or(std::string()));
        const auto *sources = transition["from"].as_array();
        if (to == result.states.end() || sources == nullptr) {
            return failed(why, parseStep, result.name, "a transition needs from = [states] and to = state");
        }
        for (const auto &source : *sources) {
            const auto from = std::find(result.states.begin(), result.states.end(), source.value_or(std::string()));
            if (from == result.states.end()) {
                return failed(why, parseStep, result.name, "unknown source state in a transition");
            }
            result.next[static_cast<std::size_t>(from - result.states.begin()) * result.events.size() + event] =
                static_cast<std::int16_t>(to - result.states.begin());
        }
    }
    result.final.assign(result.states.size(), true);
    for (std::size_t entry = 0; entry < result.next.size(); ++entry) {
        if (result.next[entry] >= 0) {
            result.final[entry / result.events.size()] = false;
        }
    }
    return result;
}

const chart &embeddedChart(chart_file file)
{
    static const chart outcome = loadEmbedded(quetzalspoolOutcomeChart);
    static const chart member = loadEmbedded(quetzalspoolMemberChart);
    static const chart reassignment = loadEmbedded(quetzalspoolReassignmentChart);
    switch (file) {
    case chart_file::outcome:
        return outcome;
    case chart_file::member:
        return member;
    default:
        return reassignment;
    }
}

chart_state stateNamed(const chart &in, std::string_view name)
{
    const auto found = std::find(in.states.begin(), in.states.end(), name);
    assert(found != in.states.end());
    return static_cast<chart_state>(found - in.states.begin());
}

chart_event eventNamed(const chart &in, std::string_view name)
{
    const auto found = std::find(in.events.begin(), in.events.end(), name);
    assert(found != in.events.end());
    return static_cast<chart_event>(found - in.events.begin());
}

std::optional<chart_state> step(const chart &in, chart_state state, chart_event event)
{
    const auto next = in.next[state * in.events.size() + event];
    if (next < 0) {
        return std::nullopt;
    }
    return static_cast<chart_state>(next);
}

bool isIn(const chart &in, chart_state state, std::string_view name)
{
    return in.states[state] == name;
}

void applyEvent(const chart &in, chart_state &state, std::string_view event)
{
    state = step(in, state, eventNamed(in, event)).value_or(state);
}

} // namespace quetzalspool
