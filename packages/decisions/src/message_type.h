/** @file message_type.h Control messages between daemons, sent as datagrams. */
#ifndef MESSAGE_TYPE_H
#define MESSAGE_TYPE_H

#include "base_type.h"

#include <string_view>
#include <variant>
#include <vector>

namespace quetzalspool {

/** Request from an owner to a voter for a promise for its term. */
struct renew_message
{
    cell_id cell; ///< Cell of the owner.
    instance_id owner; ///< The requesting owner.
    term_number term; ///< Term to promise for.
    config_number config; ///< Voter configuration in which the owner counts its majority.
    std::uint64_t sequence = 0; ///< Matches responses to renewals.
    revision_number known; ///< Revision of the cell record that the owner knows.
};

/** Response of a voter to a renewal. */
struct promise_message
{
    cell_id cell; ///< Cell of the owner.
    incarnation_id incarnation; ///< Incarnation of the voter. It also identifies the voter, since the
                                ///< cell record lists it.
    term_number term; ///< Term of the renewal.
    std::uint64_t sequence = 0; ///< Sequence number of the renewal.
    bool granted = false; ///< Whether the voter gives its promise.
    bool termRefused = false; ///< Whether the term is refused permanently.
    revision_number known; ///< Revision of the cell record that the voter knows.
};

/** Request from a coordinator to a voter to refuse a member's terms permanently. */
struct end_term_message
{
    cell_id cell; ///< Cell of the member.
    instance_id coordinator; ///< The requesting coordinator.
    instance_id member; ///< Member whose terms end.
    term_number upTo; ///< Terms up to this one are refused.
};

/** Response of a voter that will never again give a promise for these terms. */
struct term_ended_message
{
    cell_id cell; ///< Cell of the member.
    instance_id voter; ///< The responding voter.
    instance_id member; ///< Member whose terms end.
    term_number upTo; ///< Terms up to this one are refused.
    milliseconds remaining{0}; ///< Remaining time of the voter's last promise for them.
};

/** Request from a coordinator to a voter of a previous configuration to refuse renewals under older configurations. */
struct retire_config_message
{
    cell_id cell; ///< Cell whose voters change.
    instance_id coordinator; ///< The requesting coordinator.
    config_number minConfig; ///< Renewals under a smaller configuration number are refused from now on.
};

/** Response of a voter that refuses renewals under older configurations. */
struct config_retired_message
{
    cell_id cell; ///< Cell whose voters change.
    instance_id voter; ///< The responding voter.
    config_number minConfig; ///< Renewals under a smaller configuration number are refused.
    milliseconds remaining{0}; ///< Remaining time of the voter's last promise under a smaller number.
};

/** Request from a coordinator to an owner to release slots. */
struct release_slots_message
{
    cell_id cell; ///< Cell of the owner.
    instance_id coordinator; ///< The requesting coordinator.
    pool_id pool; ///< Pool of the slots.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> slots; ///< Slot numbers, each with its fence.
};

/** Response of an owner that has released slots. It never serves them again under these fences. */
struct slots_released_message
{
    cell_id cell; ///< Cell of the owner.
    instance_id owner; ///< The responding owner.
    pool_id pool; ///< Pool of the slots.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> slots; ///< Slot numbers, each with its fence.
};

/** Announcement of a new revision of a document. */
struct announce_document_message
{
    instance_id sender; ///< Daemon that has the document.
    std::string key; ///< Key of the document.
    revision_number revision; ///< New revision.
};

/** Digest of all documents of the sender. */
struct digest_message
{
    instance_id sender; ///< Daemon that has the documents.
    std::uint64_t summary = 0; ///< Hash over all keys and revisions.
    bool reply = false; ///< Whether this responds to a digest that differed. Such a message gets no response.
};

/** Unit of the speeds in load messages: requests per this many seconds. */
constexpr double speedUnitSeconds = 1000;

/** Request rates of one daemon's slots and the capacity of its target. */
struct load_message
{
    instance_id sender; ///< Daemon that reports.
    pool_id pool; ///< Pool of its target.
    std::uint64_t speed = 0; ///< Requests that one slot of its target completes in `speedUnitSeconds`; 0 if unknown.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> slots; ///< Slots, each with requests since the last message.
};

using control_message = std::variant<renew_message, promise_message, end_term_message, term_ended_message,
                                     retire_config_message, config_retired_message, release_slots_message,
                                     slots_released_message, announce_document_message, digest_message, load_message>;

/**
 * Encodes a message as MessagePack.
 * @param message Message.
 * @return Content of one datagram.
 */
std::string encodeMessage(const control_message &message);

/**
 * Decodes a datagram.
 * @param bytes Received bytes.
 * @param why Receives the reason if they can't be decoded.
 * @return The message, or nothing.
 */
std::optional<control_message> decodeMessage(std::string_view bytes, last_reason &why);

} // namespace quetzalspool

#endif // MESSAGE_TYPE_H
