/** @file mirror_pack.cpp Large values as differences from those that the receiver of an update has. */
#include "mirror_func.h"
#include "value_delta_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

constexpr std::size_t maxEarlierValues = 4; ///< Earlier values kept of each large value; daemons that are further
                                            ///< behind get it whole.

/** Finds the value of the key that a daemon has that knows all changes up to a revision; null if it is not kept. */
const mirrored_value *findBase(const value_history &history, revision_number after)
{
    const auto newer = std::find_if(history.earlier.begin(), history.earlier.end(),
                                    [&](const auto &value) { return value.revision > after; });
    return newer == history.earlier.begin() ? nullptr : &*std::prev(newer);
}

/** Packs the present value of a key. The result is kept: many daemons request the same. */
const packed_value &packFor(value_history &history, const mirrored_value &present, const mirrored_value *base)
{
    const auto revision = base == nullptr ? revision_number{} : base->revision;
    const auto known = std::find_if(history.packed.begin(), history.packed.end(),
                                    [&](const auto &packed) { return packed.base == revision; });
    if (known != history.packed.end()) {
        return *known;
    }
    history.packed.push_back({revision, packValue(present.text, base == nullptr ? "" : base->text)});
    return history.packed.back();
}

/** Whether this daemon has received a change, or a later one of the same key, in another way. */
bool isKnown(const mirrored_keys &keys, const key_change &change)
{
    const auto known = keys.values.find(change.key);
    return known != keys.values.end() && known->second.revision >= change.value.revision;
}

/** Finds the text that a daemon has for a key at a revision; null if it has another one. */
const std::string *findText(const mirrored_keys &keys, const std::string &key, revision_number revision)
{
    const auto known = keys.values.find(key);
    const bool matches = known != keys.values.end() && known->second.revision == revision && !known->second.removed;
    return matches ? &known->second.text : nullptr;
}

bool restoreText(const mirrored_keys &keys, key_change &change)
{
    static const std::string none;
    const bool whole = change.packed->base == revision_number{};
    const auto *base = whole ? &none : findText(keys, change.key, change.packed->base);
    auto text = base == nullptr ? std::nullopt : unpackValue(change.packed->bytes, *base);
    if (!text) {
        return false;
    }
    change.value.text = std::move(*text);
    change.packed.reset();
    return true;
}

} // namespace

void recordEarlierValue(mirrored_keys &keys, const mirrored_value &earlier, const key_change &change)
{
    if (change.value.removed || earlier.text.size() < minPackedBytes) {
        keys.histories.erase(change.key);
        return;
    }
    auto &history = keys.histories[change.key];
    history.packed.clear();
    history.earlier.push_back(earlier);
    if (history.earlier.size() > maxEarlierValues) {
        history.earlier.erase(history.earlier.begin());
    }
}

void packUpdate(mirrored_keys &keys, mirror_update &update, revision_number after)
{
    for (auto &change : update.changes) {
        const auto size = change.value.text.size();
        if (size < minPackedBytes || size > maxPackedBytes) {
            continue;
        }
        auto &history = keys.histories[change.key];
        const auto *base = update.snapshot ? nullptr : findBase(history, after);
        const auto &packed = packFor(history, change.value, base);
        if (!packed.bytes.empty() && packed.bytes.size() < change.value.text.size()) {
            change.packed = packed;
            change.value.text.clear();
        }
    }
}

bool restoreTexts(const mirrored_keys &keys, mirror_update &update)
{
    return std::all_of(update.changes.begin(), update.changes.end(), [&](auto &change) {
        return !change.packed || isKnown(keys, change) || restoreText(keys, change);
    });
}

} // namespace quetzalspool
