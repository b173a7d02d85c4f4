/** @file message_type.h Control messages between daemons, sent as datagrams. */
#ifndef MESSAGE_TYPE_H
#define MESSAGE_TYPE_H

#include "base_type.h"

#include <string_view>
#include <variant>
#include <vector>

namespace quetzalspool {

/** An owner asks a voter to vouch for its term. */
struct renew_message
{
    cell_id cell; ///< Cell of the owner.
    instance_id owner; ///< Who asks.
    term_number term; ///< Term to vouch for.
    config_number config; ///< Set of voters that the owner counts by.
    std::uint64_t sequence = 0; ///< Tells answers apart.
    revision_number known; ///< Revision of the cell record that the owner knows.
};

/** A voter's answer to a renewal. */
struct promise_message
{
    cell_id cell; ///< Cell of the owner.
    incarnation_id incarnation; ///< Run of the voter; names the voter too, since the record lists it.
    term_number term; ///< Term it answers for.
    std::uint64_t sequence = 0; ///< Of the renewal.
    bool granted = false; ///< Whether it vouches.
    bool termRefused = false; ///< Whether the term is refused for good.
    revision_number known; ///< Revision of the cell record that the voter knows.
};

/** A driver asks a voter to refuse a member's terms for good. */
struct end_term_message
{
    cell_id cell; ///< Cell of the member.
    instance_id coordinator; ///< Who asks.
    instance_id member; ///< Whose terms end.
    term_number upTo; ///< Terms up to this one are refused.
};

/** A voter's answer: it will never vouch for these terms again. */
struct term_ended_message
{
    cell_id cell; ///< Cell of the member.
    instance_id voter; ///< Who answers.
    instance_id member; ///< Whose terms end.
    term_number upTo; ///< Terms up to this one are refused.
    milliseconds remaining{0}; ///< How long the voter's last vouch still runs.
};

/** A driver asks a voter of a previous set to vouch no more under sets of voters before one. */
struct retire_config_message
{
    cell_id cell; ///< Cell whose voters change.
    instance_id coordinator; ///< Who asks.
    config_number minConfig; ///< Renewals under a smaller number are refused from now on.
};

/** A voter's answer to a retire request. */
struct config_retired_message
{
    cell_id cell; ///< Cell whose voters change.
    instance_id voter; ///< Who answers.
    config_number minConfig; ///< Renewals under a smaller number are refused.
    milliseconds remaining{0}; ///< How long the voter's last vouch under a smaller number still runs.
};

/** A driver asks an owner to give slots back. */
struct release_slots_message
{
    cell_id cell; ///< Cell of the owner.
    instance_id coordinator; ///< Who asks.
    pool_id pool; ///< Pool of the slots.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> slots; ///< Slot numbers, each with its fence.
};

/** An owner has given slots back; it never takes them again under these fences. */
struct slots_released_message
{
    cell_id cell; ///< Cell of the owner.
    instance_id owner; ///< Who answers.
    pool_id pool; ///< Pool of the slots.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> slots; ///< Slot numbers, each with its fence.
};

/** Word that a document has a new revision. */
struct announce_document_message
{
    instance_id sender; ///< Who has it.
    std::string key; ///< Key of the document.
    revision_number revision; ///< Its revision.
};

/** Summary of all documents of the sender. */
struct digest_message
{
    instance_id sender; ///< Who has them.
    std::uint64_t summary = 0; ///< Hash over all keys and revisions.
    bool reply = false; ///< Whether it answers a digest that differed; such a one is not answered.
};

/** How much is asked of the slots of one daemon, and how fast its target works. */
struct load_message
{
    instance_id sender; ///< Daemon.
    pool_id pool; ///< Pool of its target.
    std::uint64_t speed = 0; ///< Requests that one slot of its target finishes in 1000 seconds; 0 if unknown.
    std::vector<std::pair<std::uint32_t, std::uint64_t>> slots; ///< Slots, each with requests since the last message.
};

using control_message = std::variant<renew_message, promise_message, end_term_message, term_ended_message,
                                     retire_config_message, config_retired_message, release_slots_message,
                                     slots_released_message, announce_document_message, digest_message, load_message>;

/**
 * Encodes a message as MessagePack.
 * @param message Message.
 * @return Bytes of one datagram.
 */
std::string encodeMessage(const control_message &message);

/**
 * Decodes a datagram.
 * @param bytes Bytes received.
 * @param why Receives the reason if they are no message.
 * @return The message, or nothing.
 */
std::optional<control_message> decodeMessage(std::string_view bytes, last_reason &why);

} // namespace quetzalspool

#endif // MESSAGE_TYPE_H
