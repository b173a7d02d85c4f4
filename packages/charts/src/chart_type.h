/** @file chart_type.h State machines that are defined in TOML files and interpreted at run time. */
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

/** State chart: states, events and the transition table. */
struct chart
{
    std::string name; ///< Name of the chart, from the file.
    std::vector<std::string> states; ///< State names; the first is the initial state.
    std::vector<std::string> events; ///< Event names.
    std::vector<std::int16_t> next; ///< Transition table (states x events); -1 where the event is not allowed.
    std::vector<bool> final; ///< By state: whether it has no outgoing transitions.
};

/** The embedded chart files. */
enum class chart_file
{
    outcome, ///< Outcome of a request.
    member, ///< Lifecycle of a member of a cell.
    reassignment, ///< Ending the term of an unresponsive member.
};

/**
 * Parses a chart from TOML text: name, states, and [[transition]] tables with from, event and to. States without
 * outgoing transitions are final.
 * @param text TOML text.
 * @param why Receives the reason if the text is not a valid chart.
 * @return The chart, or nothing.
 */
std::optional<chart> parseChart(std::string_view text, last_reason &why);

/**
 * Returns an embedded chart. The first call parses all charts and aborts the process if one is invalid.
 * @param file Chart to return.
 * @return The chart; valid until the process ends.
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
 * Looks up the transition for an event.
 * @param in Chart.
 * @param state Current state.
 * @param event Event that occurred.
 * @return The next state, or nothing if the chart does not allow the event in this state.
 */
std::optional<chart_state> step(const chart &in, chart_state state, chart_event event);

/**
 * Checks whether a state has a given name.
 * @param in Chart.
 * @param state State.
 * @param name State name.
 * @return Whether the state has that name.
 */
bool isIn(const chart &in, chart_state state, std::string_view name);

/**
 * Applies an event to a state. The state is unchanged if the chart does not allow the event there.
 * @param in Chart.
 * @param state Current state, updated in place.
 * @param event Event name.
 * @pre The chart has an event of that name.
 */
void applyEvent(const chart &in, chart_state &state, std::string_view event);

} // namespace quetzalspool

#endif // CHART_TYPE_H
