/** @file main.cpp Runs the stand-in store. */
#include "store_standin.h"

#include <cstdio>
#include <cstdlib>

/**
 * Serves on 127.0.0.1 until the process is killed.
 * @param argc Number of arguments.
 * @param argv The port to listen on.
 * @return 1 if it can't listen.
 */
int main(int argc, char **argv)
{
    using namespace quetzalspool;
    asio::io_context context{1};
    last_reason why;
    auto acceptor =
        listenOn(context, {"127.0.0.1", static_cast<std::uint16_t>(argc > 1 ? std::atoi(argv[1]) : 0)}, why);
    if (!acceptor) {
        std::fprintf(stderr, "%s\n", describe(why).c_str());
        return 1;
    }
    auto shared = std::make_shared<tcp::acceptor>(std::move(*acceptor));
    asio::co_spawn(context, serveStore(std::make_shared<store_standin>(), shared), asio::detached);
    context.run();
    return 0;
}
