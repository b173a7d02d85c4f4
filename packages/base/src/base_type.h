/** @file base_type.h Identifiers, time types, error reasons and endpoints used by all packages. */
#ifndef BASE_TYPE_H
#define BASE_TYPE_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

namespace quetzalspool {

/** Strongly typed identifier: prevents one kind of identifier from being passed where another is expected. */
template <typename Tag, typename Value>
struct strong_id
{
    Value value{}; ///< The underlying value.

    auto operator<=>(const strong_id &) const = default;
};

/**
 * Prints the underlying value of an identifier.
 * @param out Output stream.
 * @param id Identifier.
 * @return The stream.
 */
template <typename Tag, typename Value>
std::ostream &operator<<(std::ostream &out, const strong_id<Tag, Value> &id)
{
    return out << id.value;
}

using instance_id = strong_id<struct instance_tag, std::string>; ///< Name of an instance, from its settings.
using cell_id = strong_id<struct cell_tag, std::string>; ///< Name of a cell.
using pool_id = strong_id<struct pool_tag, std::string>; ///< Name of a pool of targets.
using domain_id = strong_id<struct domain_tag, std::string>; ///< Name of a failure domain.
using region_id = strong_id<struct region_tag, std::string>; ///< Name of a region.
using incarnation_id = strong_id<struct incarnation_tag, std::uint64_t>; ///< One run of a daemon; new at each start.
using term_number = strong_id<struct term_tag, std::uint64_t>; ///< Number of an instance lease within its cell.
using config_number = strong_id<struct config_tag, std::uint64_t>; ///< Number of a set of voters within its cell.
using fence_number = strong_id<struct fence_tag, std::uint64_t>; ///< Fencing token of an assignment; it only increases.
using revision_number = strong_id<struct revision_tag, std::int64_t>; ///< Revision of a value in the store.
using slot_number = strong_id<struct slot_tag, std::uint32_t>; ///< Hash slot within a pool.

using steady_time = std::chrono::steady_clock::time_point; ///< Point in time on elapsed_clock.
using milliseconds = std::chrono::milliseconds; ///< Unit of most durations.

/** Why an operation returned no value: the step that failed, the peer or file involved, and a description. */
struct last_reason
{
    std::string step; ///< Operation that failed, such as "read the settings".
    std::string peer; ///< Address, file name or other object involved; may be empty.
    std::string text; ///< Description of the failure.
};

/**
 * Records the reason of a failure and returns the empty optional, for use in a return statement.
 * @param why Receives the reason.
 * @param step Operation that failed.
 * @param peer Address, file name or other object involved; may be empty.
 * @param text Description of the failure.
 * @return An empty optional.
 */
inline std::nullopt_t failed(last_reason &why, std::string step, std::string peer, std::string text)
{
    why = last_reason{std::move(step), std::move(peer), std::move(text)};
    return std::nullopt;
}

/**
 * Formats a reason as one line.
 * @param why Reason.
 * @return "step: peer: text", or "step: text" if the peer is empty.
 */
inline std::string describe(const last_reason &why)
{
    return why.peer.empty() ? why.step + ": " + why.text : why.step + ": " + why.peer + ": " + why.text;
}

/** An IP address and a port. */
struct endpoint
{
    std::string host; ///< IP address in text form.
    std::uint16_t port = 0; ///< Port number.

    auto operator<=>(const endpoint &) const = default;
};

/**
 * Formats an endpoint.
 * @param at Endpoint.
 * @return "host:port".
 */
inline std::string toString(const endpoint &at)
{
    return at.host + ":" + std::to_string(at.port);
}

} // namespace quetzalspool

template <typename Tag, typename Value>
struct std::hash<quetzalspool::strong_id<Tag, Value>>
{
    /**
     * Hashes the underlying value of an identifier.
     * @param id Identifier.
     * @return Hash.
     */
    std::size_t operator()(const quetzalspool::strong_id<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value);
    }
};

#endif // BASE_TYPE_H
