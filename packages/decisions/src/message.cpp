/** @file message.cpp Encoding of control messages as MessagePack arrays. The first element is the message type. */
#include "message_type.h"

#include <array>
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>
#include <tuple>

namespace quetzalspool {

namespace {

/** Returns a field as it is encoded: strong identifiers as their plain values. */
template <typename Field>
decltype(auto) plainValue(Field &field)
{
    if constexpr (requires { field.value; }) {
        return (field.value);
    } else {
        return (field);
    }
}

/** Calls a function with references to all fields of a message in wire order. */
template <typename Message, typename Use>
auto withFields(Message &message, Use use)
{
    using kind = std::remove_const_t<Message>;
    auto &m = message;
    if constexpr (std::is_same_v<kind, renew_message>) {
        return use(m.cell, m.owner, m.term, m.config, m.sequence, m.known);
    } else if constexpr (std::is_same_v<kind, promise_message>) {
        return use(m.cell, m.incarnation, m.term, m.sequence, m.granted, m.termRefused, m.known);
    } else if constexpr (std::is_same_v<kind, end_term_message>) {
        return use(m.cell, m.coordinator, m.member, m.upTo);
    } else if constexpr (std::is_same_v<kind, term_ended_message>) {
        return use(m.cell, m.voter, m.member, m.upTo, m.remaining);
    } else if constexpr (std::is_same_v<kind, retire_config_message>) {
        return use(m.cell, m.coordinator, m.minConfig);
    } else if constexpr (std::is_same_v<kind, config_retired_message>) {
        return use(m.cell, m.voter, m.minConfig, m.remaining);
    } else if constexpr (std::is_same_v<kind, release_slots_message>) {
        return use(m.cell, m.coordinator, m.pool, m.slots);
    } else if constexpr (std::is_same_v<kind, slots_released_message>) {
        return use(m.cell, m.owner, m.pool, m.slots);
    } else if constexpr (std::is_same_v<kind, announce_document_message>) {
        return use(m.sender, m.key, m.revision);
    } else if constexpr (std::is_same_v<kind, load_message>) {
        return use(m.sender, m.pool, m.speed, m.slots);
    } else {
        return use(m.sender, m.summary, m.reply);
    }
}

template <typename Field>
void packField(msgpack::packer<msgpack::sbuffer> &packer, const Field &field)
{
    if constexpr (std::is_same_v<Field, milliseconds>) {
        packer.pack(field.count());
    } else {
        packer.pack(plainValue(field));
    }
}

template <typename Field>
void unpackField(const msgpack::object &from, Field &field)
{
    if constexpr (std::is_same_v<Field, milliseconds>) {
        field = milliseconds(from.as<std::int64_t>());
    } else {
        from.convert(plainValue(field));
    }
}

template <typename Message>
control_message unpackMessage(const msgpack::object_array &array)
{
    Message message;
    withFields(message, [&](auto &...fields) {
        if (array.size != sizeof...(fields) + 1) {
            throw msgpack::type_error();
        }
        std::size_t index = 1;
        (unpackField(array.ptr[index++], fields), ...);
    });
    return message;
}

template <std::size_t... Kinds>
control_message unpackKind(std::size_t kind, const msgpack::object_array &array, std::index_sequence<Kinds...>)
{
    using unpacker = control_message (*)(const msgpack::object_array &);
    static constexpr std::array<unpacker, sizeof...(Kinds)> unpackers{
        &unpackMessage<std::variant_alternative_t<Kinds, control_message>>...};
    if (kind >= unpackers.size()) {
        throw msgpack::type_error();
    }
    return unpackers[kind](array);
}

} // namespace

std::string encodeMessage(const control_message &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    std::visit(
        [&](const auto &typed) {
            withFields(typed, [&](const auto &...fields) {
                packer.pack_array(sizeof...(fields) + 1);
                packer.pack(message.index());
                (packField(packer, fields), ...);
            });
        },
        message);
    return {buffer.data(), buffer.size()};
}

std::optional<control_message> decodeMessage(std::string_view bytes, last_reason &why)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
            return failed(why, "decode a control message", "", "not an array");
        }
        const auto kind = object.via.array.ptr[0].as<std::size_t>();
        return unpackKind(kind, object.via.array, std::make_index_sequence<std::variant_size_v<control_message>>());
    } catch (const std::exception &error) {
        return failed(why, "decode a control message", "", error.what());
    }
}

} // namespace quetzalspool
