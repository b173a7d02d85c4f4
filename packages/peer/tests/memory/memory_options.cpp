/** @file memory_options.cpp What the checks of memory look for in the tests of connections between daemons. */

/**
 * Read by the checker as the program starts. Coroutines that still wait as a test ends are never freed; that is no
 * fault of theirs, so leaks are not looked for.
 */
extern "C" const char *__asan_default_options()
{
    return "detect_leaks=0";
}
