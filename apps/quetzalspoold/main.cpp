/** @file main.cpp Entry point of the daemon. */
#include "daemon.h"
#include "log_func.h"
#include "platform_port.h"
#include "roster_daemon.h"

#include <cstdio>
#include <tclap/CmdLine.h>

/**
 * Reads the command line and the settings file, then runs the daemon until it is stopped.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return 0 after a planned stop, 2 for invalid settings, 1 for any other failure.
 */
int main(int argc, char **argv)
{
    using namespace quetzalspool;
    TCLAP::CmdLine line("Routing daemon of quetzalspool; one runs beside each target.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settingsFile("s", "settings", "Settings file in TOML.", true, "", "FILE", line);
    line.parse(argc, argv);
    last_reason why;
    const auto settings = loadSettings(settingsFile.getValue(), why);
    if (!settings) {
        std::fprintf(stderr, "%s\n", describe(why).c_str());
        return 2;
    }
    startLog(settings->logLevel, settings->logFormat == log_format::json, settings->instance.value);
    const bool good = settings->roster
        ? runRosterDaemon(*settings, platform::makePort(settings->store, settings->roster->limits), why)
        : runDaemon(*settings, why);
    if (!good) {
        logEvent(log_level::error, "not-started", {{"reason", describe(why)}});
        return 1;
    }
    return 0;
}
