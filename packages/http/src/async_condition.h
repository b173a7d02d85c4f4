/** @file async_condition.h Waiting for a change within one thread. */
#ifndef ASYNC_CONDITION_H
#define ASYNC_CONDITION_H

#include "asio_type.h"
#include "elapsed_clock.h"

#include <list>

namespace quetzalspool {

/** Lets coroutines of one thread wait for a change. */
struct async_condition
{
    asio::any_io_executor executor; ///< Where the waiters run.
    std::list<asio::steady_timer> waiters; ///< One timer per waiter; its cancellation wakes the waiter.

    explicit async_condition(asio::any_io_executor runsOn)
        : executor(std::move(runsOn))
    { }

    /** Wakes all waiters. */
    void notifyAll()
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
        co_await waiter->async_wait(redirectError(code));
        waiters.erase(waiter);
    }
};

} // namespace quetzalspool

#endif // ASYNC_CONDITION_H
