/** @file shared_body.h Body of a request, stored once in blocks and shared by its copies. */
#ifndef SHARED_BODY_H
#define SHARED_BODY_H

#include "memory_meter.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalspool {

/**
 * Bytes that copies of the body share. Bytes are appended while the body arrives, before it is copied. Growth moves no
 * bytes and takes at most one block more than the bytes need.
 */
class shared_body
{
public:
    shared_body() = default;
    shared_body(std::string_view text) // NOLINT(google-explicit-constructor): used like std::string.
    {
        append(text.data(), text.size());
    }
    shared_body(const std::string &text) // NOLINT(google-explicit-constructor): used like std::string.
        : shared_body(std::string_view(text))
    { }
    shared_body(const char *text) // NOLINT(google-explicit-constructor): used like std::string.
        : shared_body(std::string_view(text))
    { }

    [[nodiscard]] std::size_t size() const
    {
        return held ? held->size : 0;
    }

    [[nodiscard]] bool empty() const
    {
        return size() == 0;
    }

    /**
     * Charges the blocks to a meter, for all copies.
     * @param meter Meter.
     */
    void chargeTo(const std::shared_ptr<memory_meter> &meter)
    {
        ensureHeld();
        held->charge.chargeTo(meter);
    }

    /**
     * Appends bytes.
     * @param bytes Bytes.
     * @param count Number of bytes.
     */
    void append(const char *bytes, std::size_t count)
    {
        if (count > 0) {
            ensureHeld();
        }
        while (count > 0) {
            if (held->blocks.empty() || held->blocks.back().size == held->blocks.back().capacity) {
                addBlock(count);
            }
            auto &block = held->blocks.back();
            const auto taken = std::min(count, block.capacity - block.size);
            std::memcpy(block.bytes.get() + block.size, bytes, taken);
            block.size += taken;
            held->size += taken;
            bytes += taken;
            count -= taken;
        }
    }

    /** The bytes in order, in parts that stay valid as long as a copy of the body exists. */
    [[nodiscard]] std::vector<std::string_view> parts() const
    {
        std::vector<std::string_view> views;
        if (held) {
            views.reserve(held->blocks.size());
            for (const auto &block : held->blocks) {
                views.emplace_back(block.bytes.get(), block.size);
            }
        }
        return views;
    }

    /** Copies the bytes. */
    [[nodiscard]] std::string text() const
    {
        std::string copy;
        copy.reserve(size());
        for (const auto part : parts()) {
            copy += part;
        }
        return copy;
    }

    operator std::string() const // NOLINT(google-explicit-constructor): used like std::string.
    {
        return text();
    }

    friend bool operator==(const shared_body &left, const shared_body &right)
    {
        return left.size() == right.size() && (left.held == right.held || left.text() == right.text());
    }

    friend std::string operator+(std::string text, const shared_body &body)
    {
        for (const auto part : body.parts()) {
            text += part;
        }
        return text;
    }

private:
    /** One block. */
    struct body_block
    {
        std::unique_ptr<char[]> bytes; ///< Bytes, uninitialized beyond the size.
        std::size_t size = 0; ///< Bytes stored.
        std::size_t capacity = 0; ///< Bytes allocated.
    };

    /** What the copies share. */
    struct body_store
    {
        std::vector<body_block> blocks; ///< Blocks, all full but the last one.
        std::size_t size = 0; ///< Bytes of all blocks.
        memory_charge charge; ///< Bytes allocated.
    };

    static constexpr std::size_t minBlockBytes = 512; ///< Smallest block of a body that arrives in parts.
    static constexpr std::size_t maxBlockBytes = 65536; ///< Largest block, below the size that malloc maps by itself.

    void ensureHeld()
    {
        if (!held) {
            held = std::make_shared<body_store>();
        }
    }

    /** Adds a block as large as all before it together, within the bounds. */
    void addBlock(std::size_t wanted)
    {
        const auto capacity = std::min(std::max({minBlockBytes, held->size, wanted}), maxBlockBytes);
        held->blocks.push_back({std::unique_ptr<char[]>(new char[capacity]), 0, capacity});
        held->charge.add(capacity);
    }

    std::shared_ptr<body_store> held; ///< Bytes; null if there are none.
};

} // namespace quetzalspool

#endif // SHARED_BODY_H
