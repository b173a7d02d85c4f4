/** @file async_condition.h A condition variable for coroutines of one thread. */
#ifndef ASYNC_CONDITION_H
#define ASYNC_CONDITION_H

#include "asio_type.h"
#include "elapsed_clock.h"

#include <list>

namespace quetzalspool {

/** Condition variable for coroutines that run on one thread. */
struct async_condition
{
    asio::any_io_executor executor; ///< Executor of the waiting coroutines.
    std::list<asio::steady_timer> waiters; ///< One timer per waiting coroutine; cancelling it resumes the coroutine.

    explicit async_condition(asio::any_io_executor runsOn)
        : executor(std::move(runsOn))
    { }

    /** Resumes all waiting coroutines. */
    void notifyAll()
    {
        for (auto &waiter : waiters) {
            waiter.cancel();
        }
    }

    /**
     * Waits for notifyAll or the deadline.
     * @param until Deadline, by elapsed_clock.
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
