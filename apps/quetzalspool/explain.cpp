/** @file explain.cpp The command `explain`: joins the log lines of one request. */
#include "chain_func.h"
#include "client_type.h"

#include <fstream>
#include <iostream>

namespace quetzalspool {

namespace {

void warnUnreadableLines(const trace_log &log)
{
    for (const auto &line : log.unread) {
        std::cerr << "quetzalspool: explain: " << line << "\n";
    }
    if (log.unreadCount > log.unread.size()) {
        std::cerr << "quetzalspool: explain: " << log.unreadCount - log.unread.size() << " more unreadable lines\n";
    }
}

} // namespace

int explainRequest(const std::string &id, const std::vector<std::string> &files)
{
    trace_log log;
    for (const auto &file : files) {
        std::ifstream in(file);
        if (!in) {
            std::cerr << "quetzalspool: explain: " << file << " cannot be read\n";
            return exit_usage;
        }
        readTraceLog(in, file, log);
    }
    if (files.empty()) {
        readTraceLog(std::cin, "standard input", log);
    }
    warnUnreadableLines(log);
    const auto chain = joinChain(log, id);
    if (!chain) {
        std::cerr << "quetzalspool: explain: none of " << log.lines.size() << " lines names the request " << id
                  << ": it reached no daemon whose log this is, it was answered in time and not in the sample, or its "
                     "lines were left out (lines_dropped)\n";
        return exit_failed;
    }
    std::cout << formatChain(*chain);
    return exit_success;
}

} // namespace quetzalspool
