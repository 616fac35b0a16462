#include "ctl/options.h"

#include <cstdlib>
#include <memory>
#include <type_traits>

#include <popt.h>

#include "settings/settings.h"

namespace acaciasail::ctl {

namespace {

using kernel::Error;
using kernel::ResultCode;

constexpr const char *commandHelp
    = "COMMAND...\n\n"
      "  table list [TABLE]                 rows of all tables or one\n"
      "  table get TABLE ROW                one row, with its revision and last edit\n"
      "  table set TABLE ROW COLUMN=VALUE.. set cells; creates the row if it is new\n"
      "  table delete TABLE ROW             delete a row that no other names\n"
      "  table diff FILE                    how the table differs from a TOML file\n"
      "  table import FILE                  make the table's rows as in a TOML file\n"
      "  table export [FILE]                write the table as TOML\n"
      "  status | sessions | drain          of each daemon\n"
      "  explain REQUEST-ID                 why a request went where it went\n"
      "  bills                              totals of the bills in the store\n";

struct PoptCloser
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};

using Popt = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptCloser>;

// What popt fills in; it owns the texts.
struct RawOptions
{
    RawOptions() = default;
    RawOptions(const RawOptions &) = delete;
    RawOptions &operator=(const RawOptions &) = delete;
    ~RawOptions()
    {
        std::free(platform);
        std::free(settings);
        std::free(by);
        for (char **daemon = daemons; daemon != nullptr && *daemon != nullptr; ++daemon)
            std::free(*daemon);
        std::free(daemons);
    }

    char *platform = nullptr;
    char *settings = nullptr;
    char *by = nullptr;
    char **daemons = nullptr;
    int json = 0;
    int dryRun = 0;
    int prune = 0;
    long revision = -1;
};

Error usage(const std::string &message)
{
    return { ResultCode::UsageError, message };
}

std::optional<Error> readEndpoint(const std::string &text, const std::string &option,
                                  std::optional<kernel::Endpoint> &endpoint)
{
    endpoint = settings::parseEndpoint(text);
    if (endpoint)
        return std::nullopt;
    return usage(option + ": \"" + text + "\" is not IP:PORT");
}

// Fills from the settings file what the command line leaves open.
std::optional<Error> readSettingsFile(const std::string &file, CtlOptions &options)
{
    auto opened = kernel::capture([&] { return settings::Reader::open(file); });
    if (!opened.ok())
        return opened.error();
    settings::Reader &reader = opened.value();
    if (reader.has("platform")) {
        const kernel::Endpoint platform = reader.requiredEndpoint("platform");
        options.platform = options.platform.value_or(platform);
    }
    const auto daemons = reader.endpoints("daemons");
    if (options.daemons.empty())
        options.daemons = daemons;
    const std::string by = reader.text("by", "");
    if (options.by.empty())
        options.by = by;
    std::string message;
    for (const settings::Mistake &mistake : reader.finish())
        message.append(message.empty() ? "" : "\n").append(toString(mistake));
    if (message.empty())
        return std::nullopt;
    return Error{ ResultCode::SettingsInvalid, message };
}

std::optional<Error> convert(const RawOptions &raw, CtlOptions &options)
{
    std::optional<kernel::Endpoint> endpoint;
    if (raw.platform != nullptr) {
        if (auto error = readEndpoint(raw.platform, "--platform", options.platform))
            return error;
    }
    for (char **daemon = raw.daemons; daemon != nullptr && *daemon != nullptr; ++daemon) {
        if (auto error = readEndpoint(*daemon, "--daemon", endpoint))
            return error;
        options.daemons.push_back(*endpoint);
    }
    options.json = raw.json != 0;
    options.dryRun = raw.dryRun != 0;
    options.prune = raw.prune != 0;
    if (raw.by != nullptr)
        options.by = raw.by;
    if (raw.revision >= 0)
        options.revision = kernel::Revision(raw.revision);
    if (raw.settings != nullptr) {
        if (auto error = readSettingsFile(raw.settings, options))
            return error;
    }
    if (options.by.empty()) {
        const char *user = std::getenv("USER");
        options.by = user != nullptr ? user : "unknown";
    }
    return std::nullopt;
}

} // namespace

ExitCode exitCodeOf(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return ExitCode::Ok;
    case ResultCode::UsageError:
    case ResultCode::SettingsUnreadable:
    case ResultCode::SettingsInvalid:
        return ExitCode::Usage;
    case ResultCode::PlatformUnreachable:
    case ResultCode::PlatformThrottled:
    case ResultCode::PlatformProtocol:
    case ResultCode::UpstreamConnectFailed:
    case ResultCode::UpstreamTimeout:
    case ResultCode::UpstreamBroken:
        return ExitCode::Unreachable;
    case ResultCode::WriteOutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Refused;
    }
}

kernel::Completion<CtlOptions> readOptions(int argc, const char **argv)
{
    RawOptions raw;
    const poptOption table[] = {
        { "platform", 'p', POPT_ARG_STRING, &raw.platform, 0, "object API", "IP:PORT" },
        { "daemon", 'd', POPT_ARG_ARGV, &raw.daemons, 0, "admin address; repeatable", "IP:PORT" },
        { "settings", 's', POPT_ARG_STRING, &raw.settings, 0,
          "TOML file with platform, daemons and by", "FILE" },
        { "json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr },
        { "dry-run", 'n', POPT_ARG_NONE, &raw.dryRun, 0, "import: show the changes only", nullptr },
        { "prune", 0, POPT_ARG_NONE, &raw.prune, 0,
          "import: also delete the rows that the file lacks", nullptr },
        { "by", 0, POPT_ARG_STRING, &raw.by, 0, "who makes the edit", "NAME" },
        { "revision", 'r', POPT_ARG_LONG, &raw.revision, 0,
          "set, delete: revision that the row must have; 0 if it must not exist", "N" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    const Popt context(poptGetContext("acaciasailctl", argc, argv, table, 0));
    poptSetOtherOptionHelp(context.get(), commandHelp);
    const int result = poptGetNextOpt(context.get());
    if (result < -1) {
        return usage(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result));
    }
    CtlOptions options;
    if (const auto error = convert(raw, options))
        return *error;
    while (const char *argument = poptGetArg(context.get()))
        options.arguments.emplace_back(argument);
    if (options.arguments.empty()) {
        poptPrintHelp(context.get(), stderr, 0);
        return usage("");
    }
    return options;
}

} // namespace acaciasail::ctl
