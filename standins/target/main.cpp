/** @file main.cpp Runs a stand-in target. */
#include "target_standin.h"

#include <cstdio>
#include <tclap/CmdLine.h>

/**
 * Serves on 127.0.0.1 until the process is killed.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return 1 if it can't listen.
 */
int main(int argc, char **argv)
{
    using namespace quetzalspool;
    TCLAP::CmdLine line("A stand-in for a target server.", ' ', "0.1.0");
    TCLAP::ValueArg<int> port("p", "port", "Port to listen on.", true, 0, "PORT", line);
    TCLAP::ValueArg<int> admin("a", "admin", "Admin port of the daemon beside it.", false, 0, "PORT", line);
    TCLAP::ValueArg<std::string> pool("", "pool", "Pool.", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> name("n", "name", "Name in the log.", false, "", "NAME", line);
    TCLAP::ValueArg<int> slots("s", "slots", "Requests served concurrently.", false, 12, "N", line);
    TCLAP::ValueArg<int> connections("c", "connections", "Number of connections to announce.", false, 110, "N", line);
    TCLAP::ValueArg<int> serviceTime("", "service-ms", "Service time of a request.", false, 5, "MS", line);
    TCLAP::ValueArg<std::string> log("l", "log", "File that receives a JSON line per executed request.", false, "",
                                     "FILE", line);
    TCLAP::SwitchArg ignoreFences("", "checks-no-grants", "Do not check fences.", line);
    line.parse(argc, argv);

    auto target = std::make_shared<target_standin>();
    auto &options = target->options;
    options.listen = {"127.0.0.1", static_cast<std::uint16_t>(port.getValue())};
    options.daemon = {"127.0.0.1", static_cast<std::uint16_t>(admin.getValue())};
    options.pool = pool.getValue();
    options.name = name.getValue();
    options.slots = static_cast<std::uint32_t>(slots.getValue());
    options.connections = static_cast<std::uint32_t>(connections.getValue());
    options.serviceTime = milliseconds(serviceTime.getValue());
    options.checksFences = !ignoreFences.getValue();
    options.logFile = log.getValue();

    asio::io_context context{1};
    last_reason why;
    auto acceptor = listenOn(context, options.listen, why);
    if (!acceptor) {
        std::fprintf(stderr, "%s\n", describe(why).c_str());
        return 1;
    }
    auto shared = std::make_shared<tcp::acceptor>(std::move(*acceptor));
    asio::co_spawn(context, serveTarget(target, shared), asio::detached);
    context.run();
    return 0;
}
