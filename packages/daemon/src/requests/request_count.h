/** @file request_count.h Count of the requests in progress, which a planned stop waits for. */
#ifndef REQUEST_COUNT_H
#define REQUEST_COUNT_H

#include "shared_base.h"

namespace quetzalspool {

/** Counts a request as in progress while it exists, also if its coroutine ends with an exception. */
struct request_count
{
    explicit request_count(daemon_shared &counted)
        : shared(counted)
    {
        ++shared.requestsInFlight;
    }
    ~request_count()
    {
        --shared.requestsInFlight;
    }
    request_count(const request_count &) = delete;
    request_count &operator=(const request_count &) = delete;

    daemon_shared &shared; ///< Shared state.
};

} // namespace quetzalspool

#endif // REQUEST_COUNT_H
