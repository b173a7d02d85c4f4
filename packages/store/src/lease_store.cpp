/** @file lease_store.cpp Names of the results of store calls. */
#include "lease_store.h"

namespace quetzalspool {

const char *nameOf(call_result result)
{
    switch (result) {
    case call_result::answered:
        return "answered";
    case call_result::refused:
        return "turned-away";
    case call_result::unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace quetzalspool
