/** @file memory_meter.h Counts the bytes that callers, other daemons and targets cause a process to keep. */
#ifndef MEMORY_METER_H
#define MEMORY_METER_H

#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

namespace quetzalspool {

/** Bytes charged by all threads of a process. Only the count changes after the start. */
struct memory_meter
{
    std::atomic<std::uint64_t> used = 0; ///< Bytes charged now.
    std::uint64_t limit = std::numeric_limits<std::uint64_t>::max(); ///< Bytes that may be charged.
    std::uint64_t reserved = 0; ///< Bytes of the limit that only small requests may use.
};

/** Bytes charged to a meter until the end of the charge's life. Charges nothing without a meter. */
class memory_charge
{
public:
    memory_charge() = default;
    explicit memory_charge(std::shared_ptr<memory_meter> chargedTo, std::uint64_t bytes = 0)
        : meter(std::move(chargedTo))
    {
        add(bytes);
    }
    ~memory_charge()
    {
        if (meter) {
            meter->used -= charged;
        }
    }
    memory_charge(const memory_charge &) = delete;
    memory_charge &operator=(const memory_charge &) = delete;

    /**
     * Charges more bytes.
     * @param bytes Bytes.
     */
    void add(std::uint64_t bytes)
    {
        if (meter) {
            meter->used += bytes;
            charged += bytes;
        }
    }

    /**
     * Releases some of the bytes.
     * @param bytes Bytes, no more than were charged.
     */
    void release(std::uint64_t bytes)
    {
        if (meter) {
            meter->used -= bytes;
            charged -= bytes;
        }
    }

    /**
     * Moves the charge to another meter.
     * @param chargedTo Meter.
     */
    void chargeTo(std::shared_ptr<memory_meter> chargedTo)
    {
        const auto bytes = charged;
        release(bytes);
        meter = std::move(chargedTo);
        add(bytes);
    }

private:
    std::shared_ptr<memory_meter> meter; ///< Meter; null to charge nothing.
    std::uint64_t charged = 0; ///< Bytes charged now.
};

} // namespace quetzalspool

#endif // MEMORY_METER_H
