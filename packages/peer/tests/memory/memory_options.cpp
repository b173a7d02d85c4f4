/** @file memory_options.cpp Options of AddressSanitizer for the tests of connections between daemons. */

/**
 * Called by AddressSanitizer at startup. Coroutines that still wait when a test ends are never freed. These are no
 * faults, so the leak check is off.
 */
extern "C" const char *__asan_default_options()
{
    return "detect_leaks=0";
}
