#include <chrono>
#include <ctime>
#include <deque>
#include <memory>

#include <unistd.h>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include "kernel/internal/events.h"
#include "kernel/internal/linewriter.h"

namespace acaciasail::kernel {

namespace {

struct LogState
{
    log4cxx::LoggerPtr logger;
    log4cxx::AppenderPtr appender;
    std::unique_ptr<LineWriter> output;
    EventLevel level = EventLevel::Info;
    std::string vm;
    std::size_t recentLimit = 4096;
    std::deque<std::string> recent;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

std::string_view toString(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return "debug";
    case EventLevel::Info:
        return "info";
    case EventLevel::Warn:
        return "warn";
    case EventLevel::Error:
        break;
    }
    return "error";
}

log4cxx::LevelPtr toLog4cxx(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return log4cxx::Level::getDebug();
    case EventLevel::Info:
        return log4cxx::Level::getInfo();
    case EventLevel::Warn:
        return log4cxx::Level::getWarn();
    case EventLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

// Time of day as "2026-01-01T00:00:00.000000Z".
std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto micros
        = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    constexpr std::int64_t microsPerSecond = 1000000;
    const std::time_t seconds = micros / microsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string result(text.data(), length);
    std::string fraction = std::to_string(micros % microsPerSecond);
    result += '.';
    result.append(6 - fraction.size(), '0');
    return result + fraction + 'Z';
}

std::string formatLine(const EventInfo &info, std::initializer_list<EventField> fields)
{
    nlohmann::ordered_json line;
    line["time"] = timestamp();
    line["event"] = static_cast<int>(info.id);
    line["name"] = info.name;
    line["level"] = toString(info.level);
    line["vm"] = state().vm;
    for (const EventField &field : fields) {
        std::visit([&](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void openEventLog(const EventLogOptions &options)
{
    LogState &log = state();
    closeEventLog();
    log.level = options.level;
    log.vm = options.vm;
    log.recentLimit = options.recentLines;
    if (options.toStandardOutput) {
        log.output = std::make_unique<LineWriter>(STDOUT_FILENO);
        return;
    }
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    if (options.file.empty()) {
        log.appender
            = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    } else {
        LOG4CXX_DECODE_CHAR(fileName, options.file);
        log.appender = std::make_shared<log4cxx::FileAppender>(layout, fileName, true);
    }
    log.logger = log4cxx::Logger::getLogger("acaciasail");
    log.logger->setAdditivity(false);
    log.logger->setLevel(log4cxx::Level::getDebug());
    log.logger->addAppender(log.appender);
}

void closeEventLog()
{
    LogState &log = state();
    log.output = nullptr;
    if (!log.logger)
        return;
    log.logger->removeAllAppenders();
    log.appender->close();
    log.appender = nullptr;
    log.logger = nullptr;
}

bool eventEnabled(EventId id)
{
    return describe(id).level >= state().level;
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    const EventInfo &info = describe(id);
    LogState &log = state();
    if (info.level < log.level)
        return;
    std::string line = formatLine(info, fields);
    if (log.output)
        log.output->write(line);
    if (log.logger)
        log.logger->forcedLog(toLog4cxx(info.level), line, log4cxx::spi::LocationInfo());
    if (log.recentLimit == 0)
        return;
    if (log.recent.size() >= log.recentLimit)
        log.recent.pop_front();
    log.recent.push_back(std::move(line));
}

std::vector<std::string> recentEvents(std::string_view containing, std::size_t limit)
{
    const std::deque<std::string> &recent = state().recent;
    std::vector<std::string> found;
    for (auto line = recent.rbegin(); line != recent.rend() && found.size() < limit; ++line) {
        if (line->find(containing) != std::string::npos)
            found.push_back(*line);
    }
    return { found.rbegin(), found.rend() };
}

} // namespace acaciasail::kernel
