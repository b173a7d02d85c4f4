/** @file reasons.h All reasons for which a request ends. A test holds it against the words that the daemon uses. */
#ifndef REASONS_H
#define REASONS_H

#include "reason_type.h"

#include <array>

namespace quetzalspool {

/** Reasons: answers first, then what the entry refused, what the owner refused, and what was lost. */
inline constexpr std::array reasonTable{
    reason_row{"target", "the target's own answer was passed on", ""},
    reason_row{"no-tables-yet", "the daemon did not know the tables yet", "started tables-taken store-lost"},
    reason_row{"no-route", "no route has this host and path", "tables-taken tables-refused"},
    reason_row{"no-pool", "the route's pool is not in the tables", "tables-taken tables-refused"},
    reason_row{"caller-not-allowed", "the route's networks do not name the caller", "tables-taken"},
    reason_row{"missing-or-bad-key", "the route needs a key and the request has none that can be read", ""},
    reason_row{"body-too-large", "the body is longer than the route allows", ""},
    reason_row{"bad-body", "the body did not arrive whole", ""},
    reason_row{"headers-too-large", "the headers are longer than allowed", ""},
    reason_row{"bad-request", "the request could not be read", ""},
    reason_row{"no-owner", "nobody owned the key, as far as the entry knew",
               "owners-written owners-conflict node-gone"},
    reason_row{"daemon-unreachable", "the daemon beside the target could not be reached", "node-gone stopping started"},
    reason_row{"daemon-leaving", "the daemon beside the target was stopping", "stopping target-leaves"},
    reason_row{"not-owner", "the daemon that was asked does not own the key any more, or not yet",
               "owners-written owners-conflict target-life right-lost"},
    reason_row{"moving", "the key was being given back", "owners-written"},
    reason_row{"no-lease", "the daemon's right to the key had run out", "right-lost store-lost own-entry-missing"},
    reason_row{"no-target", "the daemon had no target of this pool", "target-life target-silent"},
    reason_row{"overloaded", "the queue beside the target was full, or the wait too long for the time left",
               "owners-written target-life"},
    reason_row{"target-stalled", "the target had finished nothing for too long", "target-silent"},
    reason_row{"leaving", "the target was being drained", "target-leaves stopping"},
    reason_row{"deadline-passed", "the time was over before the request could be handed over", ""},
    reason_row{"cancelled", "the caller gave up before the hand-over", ""},
    reason_row{"cancelled-before-hand-over", "the first daemon took the attempt back before it was handed over", ""},
    reason_row{"target-refused", "the target said that it did not run it", "target-life owners-written"},
    reason_row{"target-lost", "it was handed over, and no answer of the target came back", "target-life target-silent"},
    reason_row{"daemon-lost", "the other daemon gave no answer: the connection broke", "node-gone stopping started"},
    reason_row{"time-over", "the time was over before an answer came", "target-silent"},
    reason_row{"caller-left", "the caller left before an answer came", ""},
    reason_row{"owner-changed", "the key got another owner before an answer came", "owners-written node-gone"},
    reason_row{"duplicate", "a request with this id was under way or had run", ""},
    reason_row{"bad-message", "the message between the daemons could not be read", ""},
};

} // namespace quetzalspool

#endif // REASONS_H
