/** @file base_type.h Identifiers, times and reasons that every package shares. */
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

/** A distinct type around a plain value, so that one kind of identifier is never passed for another. */
template <typename Tag, typename Value>
struct strong_id
{
    Value value{}; ///< The plain value.

    auto operator<=>(const strong_id &) const = default;
};

/**
 * Prints an identifier's plain value.
 * @param out Stream written to.
 * @param id Identifier.
 * @return The stream.
 */
template <typename Tag, typename Value>
std::ostream &operator<<(std::ostream &out, const strong_id<Tag, Value> &id)
{
    return out << id.value;
}

using instance_id = strong_id<struct instance_tag, std::string>; ///< Name of one instance, from its settings.
using cell_id = strong_id<struct cell_tag, std::string>; ///< Name of one cell.
using pool_id = strong_id<struct pool_tag, std::string>; ///< Name of one pool of targets.
using domain_id = strong_id<struct domain_tag, std::string>; ///< Name of one failure domain.
using region_id = strong_id<struct region_tag, std::string>; ///< Name of one region.
using incarnation_id = strong_id<struct incarnation_tag, std::uint64_t>; ///< One run of a daemon; new at each start.
using term_number = strong_id<struct term_tag, std::uint64_t>; ///< Number of an instance lease within its cell.
using config_number = strong_id<struct config_tag, std::uint64_t>; ///< Number of a set of voters within its cell.
using fence_number = strong_id<struct fence_tag, std::uint64_t>; ///< Fencing number of one assignment; only grows.
using revision_number = strong_id<struct revision_tag, std::int64_t>; ///< Revision of a value in the store.
using slot_number = strong_id<struct slot_tag, std::uint32_t>; ///< Hash slot within one pool.

using steady_time = std::chrono::steady_clock::time_point; ///< A moment, as elapsed_clock reads it.
using milliseconds = std::chrono::milliseconds; ///< The unit of nearly all intervals.

/** Why an operation gave no value: the step that failed, the peer it concerned, and the reason in words. */
struct last_reason
{
    std::string step; ///< What was being done, such as "read the settings".
    std::string peer; ///< With whom or on what, such as an address or a file name; may be empty.
    std::string text; ///< What went wrong.
};

/**
 * Records a reason and yields the empty optional, for use in a return statement.
 * @param why Receives the reason.
 * @param step What was being done.
 * @param peer With whom, or on what.
 * @param text What went wrong.
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
 * @return "step: peer: text", without the peer if it is empty.
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
     * Hashes an identifier like its plain value.
     * @param id Identifier.
     * @return Hash.
     */
    std::size_t operator()(const quetzalspool::strong_id<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value);
    }
};

#endif // BASE_TYPE_H
