/** @file chart_type.h State charts that are read from files and interpreted. */
#ifndef CHART_TYPE_H
#define CHART_TYPE_H

#include "base_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspool {

/** Index of a state in its chart, in the order of the file. */
using chart_state = std::uint8_t;
/** Index of an event in its chart, in the order of the file. */
using chart_event = std::uint8_t;

/** One chart: states, events, and for each pair the next state, if the event is allowed there. */
struct chart
{
    std::string name; ///< Name given in the file.
    std::vector<std::string> states; ///< State names; the first is the initial state.
    std::vector<std::string> events; ///< Event names.
    std::vector<std::int16_t> next; ///< states x events matrix of next states; -1 where the event is not allowed.
    std::vector<bool> final; ///< Whether a state is final.
};

/** The embedded chart files. */
enum class chart_file
{
    outcome, ///< Outcome of one request.
    member, ///< Life of a member of a cell.
    reassignment, ///< Ending a silent member's term.
};

/**
 * Reads a chart from TOML text: name, states, final, and [[transition]] rows with from, event and to.
 * @param text The file's text.
 * @param why Receives the reason if the text is not a chart.
 * @return The chart, or nothing.
 */
std::optional<chart> parseChart(std::string_view text, last_reason &why);

/**
 * Finds an embedded chart. The text is checked at the first call.
 * @param file Which chart.
 * @return The chart; it lives as long as the process.
 */
const chart &embeddedChart(chart_file file);

/**
 * Looks up a state by its name.
 * @param in Chart.
 * @param name State name.
 * @return Its index.
 * @pre The chart has a state of that name.
 */
chart_state stateNamed(const chart &in, std::string_view name);

/**
 * Looks up an event by its name.
 * @param in Chart.
 * @param name Event name.
 * @return Its index.
 * @pre The chart has an event of that name.
 */
chart_event eventNamed(const chart &in, std::string_view name);

/**
 * Takes one step.
 * @param in Chart.
 * @param state Current state.
 * @param event Event that occurred.
 * @return The next state, or nothing if the chart does not allow the event in this state.
 */
std::optional<chart_state> step(const chart &in, chart_state state, chart_event event);

/**
 * Tells whether a state is the named one.
 * @param in Chart.
 * @param state State.
 * @param name State name.
 * @return Whether it is.
 */
bool isIn(const chart &in, chart_state state, std::string_view name);

/**
 * Moves on an event if the chart allows it in the present state, else stays.
 * @param in Chart.
 * @param state State, changed in place.
 * @param event Event name.
 */
void applyEvent(const chart &in, chart_state &state, std::string_view event);

} // namespace quetzalspool

#endif // CHART_TYPE_H
