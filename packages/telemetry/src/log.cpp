/** @file log.cpp Structured logging through log4cxx. */
#include "log_func.h"

#include <algorithm>
#include <atomic>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

constexpr int maxBufferedLines = 512; ///< Lines buffered for a slow reader of standard output (about 100 KB).

bool jsonFormat = false;
std::string instanceName;

log4cxx::LoggerPtr logger()
{
    static const auto instance = log4cxx::Logger::getLogger("quetzalspool");
    return instance;
}

log4cxx::LevelPtr toLog4cxxLevel(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    default:
        return log4cxx::Level::getError();
    }
}

/** Quotes text; bytes that are none are replaced, since values of others may be logged. */
std::string quoteText(const std::string &value)
{
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string formatText(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line(event);
    for (const auto &[name, value] : fields) {
        line.append(" ").append(name).append("=");
        const bool quote = value.empty() || value.find_first_of(" \"=") != std::string::npos;
        line += quote ? quoteText(value) : value;
    }
    return line;
}

std::string formatJson(std::string_view event, std::initializer_list<log_field> fields)
{
    nlohmann::json line{{"event", event}, {"instance", instanceName}};
    for (const auto &[name, value] : fields) {
        line[std::string(name)] = value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

bool consumeTokens(log_budget &budget, steady_time now, std::uint32_t lines)
{
    if (budget.refilledAt != steady_time{}) {
        const std::chrono::duration<double> past = now - budget.refilledAt;
        budget.tokens = std::min(budget.maxTokens, budget.tokens + past.count() * budget.tokensPerSecond);
    }
    budget.refilledAt = now;
    if (budget.tokens < lines) {
        budget.dropped += lines;
        return false;
    }
    budget.tokens -= lines;
    return true;
}

void startLog(const std::string &level, bool json, const std::string &instance)
{
    jsonFormat = json;
    instanceName = instance;
    // Time and level precede the JSON object, so that the object holds just the fields of the event.
    const auto pattern = json ? std::string("%d{yyyy-MM-dd HH:mm:ss.SSS} %p %m%n")
                              : "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [" + instance + "] %m%n";
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    // A stalled reader of standard output must not block the daemon: when the buffer is full, lines are dropped, and
    // log4cxx reports how many.
    auto buffer = std::make_shared<log4cxx::AsyncAppender>();
    buffer->setBlocking(false);
    buffer->setBufferSize(maxBufferedLines);
    buffer->addAppender(appender);
    log4cxx::BasicConfigurator::configure(buffer);
    logger()->setLevel(log4cxx::Level::toLevel(level));
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto eventLogger = logger();
    const auto log4cxxLevel = toLog4cxxLevel(level);
    if (eventLogger->isEnabledFor(log4cxxLevel)) {
        eventLogger->forcedLog(log4cxxLevel, jsonFormat ? formatJson(event, fields) : formatText(event, fields));
    }
}

} // namespace quetzalspool
