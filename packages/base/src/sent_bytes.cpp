/** @file sent_bytes.cpp Counts the bytes that a process sends to other daemons and to the store. */
#include "sent_bytes.h"

namespace quetzalspool {

byte_counter counterOf(const std::shared_ptr<sent_bytes> &sent, byte_kind kind, byte_distance distance)
{
    return sent ? byte_counter(sent, &sent->counts[static_cast<std::size_t>(kind)][static_cast<std::size_t>(distance)])
                : nullptr;
}

byte_distance distanceBetween(const topology_place &from, const topology_place &to)
{
    if (from.region.value.empty() || to.region.value.empty()) {
        return byte_distance::region;
    }
    if (from.region != to.region) {
        return byte_distance::remote;
    }
    const bool sameDomain = from.domain == to.domain && !from.domain.value.empty();
    return sameDomain ? byte_distance::domain : byte_distance::region;
}

const char *nameOf(byte_kind kind)
{
    switch (kind) {
    case byte_kind::request:
        return "request";
    case byte_kind::response:
        return "response";
    case byte_kind::head:
        return "head";
    case byte_kind::control:
        return "control";
    case byte_kind::store:
        return "store";
    }
    return "";
}

const char *nameOf(byte_distance distance)
{
    switch (distance) {
    case byte_distance::domain:
        return "domain";
    case byte_distance::region:
        return "region";
    case byte_distance::remote:
        return "remote";
    }
    return "";
}

byte_distance distanceNamed(std::string_view name)
{
    for (const auto distance : byteDistances) {
        if (name == nameOf(distance)) {
            return distance;
        }
    }
    return byte_distance::region;
}

} // namespace quetzalspool
