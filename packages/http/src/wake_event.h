/** @file wake_event.h Waiting for a change within one thread. */
#ifndef WAKE_EVENT_H
#define WAKE_EVENT_H

#include "asio_type.h"
#include "elapsed_clock.h"

#include <list>

namespace quetzalspool {

/** Lets coroutines of one thread wait for a change. */
struct wake_event
{
    asio::any_io_executor executor; ///< Where the waiters run.
    std::list<asio::steady_timer> waiters; ///< One timer per waiter; its cancellation wakes the waiter.

    explicit wake_event(asio::any_io_executor runsOn)
        : executor(std::move(runsOn))
    { }

    /** Wakes all waiters. */
    void wake()
    {
        for (auto &waiter : waiters) {
            waiter.cancel();
        }
    }

    /**
     * Waits for a wake.
     * @param until Latest moment.
     * @return An awaitable.
     */
    asio::awaitable<void> waitUntil(steady_time until)
    {
        const auto waiter = waiters.emplace(waiters.end(), executor, elapsed_clock::forTimers(until));
        error_code code;
        co_await waiter->async_wait(reporting(code));
        waiters.erase(waiter);
    }
};

} // namespace quetzalspool

#endif // WAKE_EVENT_H
