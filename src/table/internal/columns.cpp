#include "table/internal/columns.h"

#include <algorithm>
#include <array>

namespace acaciasail::table {

namespace {

constexpr std::array<std::string_view, 3> rankValues{ "priority", "default", "flex" };
constexpr std::array<std::string_view, 2> ratingsFallbackValues{ "keep_last", "use_dearest" };
constexpr std::array<std::string_view, 2> versionStateValues{ "active", "withdrawn" };
constexpr std::array<std::string_view, 2> limitScopeValues{ "workspace", "caller" };
constexpr std::array<std::string_view, 2> upstreamKindValues{ "model", "application" };
constexpr std::array<std::string_view, 2> upstreamStateValues{ "active", "leaving" };
constexpr std::array<std::string_view, 3> rolloutStateValues{ "running", "halted", "finished" };

constexpr double maxWeight = 1e6;
constexpr double maxRate = 1e9;
constexpr double maxTokens = 1e12;
constexpr double maxPrice = 1e12;
constexpr double maxTimeoutMs = 3.6e6;

// Returns the key column of a table whose rows have a single key column.
constexpr Column id(std::string_view meaning)
{
    return { .name = "id", .type = ColumnType::Name, .meaning = meaning, .key = true };
}

constexpr Column keyReference(std::string_view name, TableId table, std::string_view meaning)
{
    return {
        .name = name, .type = ColumnType::Name, .meaning = meaning, .references = table, .key = true
    };
}

constexpr Column reference(std::string_view name, TableId table, std::string_view meaning)
{
    return { .name = name,
             .type = ColumnType::Name,
             .meaning = meaning,
             .references = table,
             .required = true };
}

constexpr Column references(std::string_view name, TableId table, std::string_view meaning)
{
    return { .name = name, .type = ColumnType::NameList, .meaning = meaning, .references = table };
}

constexpr Column number(std::string_view name, double minimum, double maximum,
                        std::string_view meaning, std::string_view unit = "")
{
    return { .name = name,
             .type = ColumnType::Number,
             .meaning = meaning,
             .unit = unit,
             .minimum = minimum,
             .maximum = maximum };
}

constexpr Column integer(std::string_view name, double minimum, double maximum,
                         std::string_view meaning, std::string_view unit = "")
{
    return { .name = name,
             .type = ColumnType::Integer,
             .meaning = meaning,
             .unit = unit,
             .minimum = minimum,
             .maximum = maximum };
}

constexpr Column choice(std::string_view name, std::span<const std::string_view> values,
                        std::string_view meaning)
{
    return { .name = name, .type = ColumnType::Choice, .meaning = meaning, .choices = values };
}

constexpr Column boolean(std::string_view name, std::string_view meaning)
{
    return { .name = name, .type = ColumnType::Boolean, .meaning = meaning };
}

constexpr Column required(Column column)
{
    column.required = true;
    return column;
}

constexpr Column asKey(Column column)
{
    column.key = true;
    return column;
}

// clang-format off
constexpr std::array workspaceColumns{
    id("Name of the workspace."),
    references("models", TableId::Models, "Models that its callers may name."),
    references("services", TableId::Services, "Plain services that its callers may call."),
    number("quality_target", 0, 1, "Target of the mean quality, between 0 and 1."),
    choice("highest_rank", rankValues, "Most urgent rank that its callers may ask for."),
    choice("ratings_fallback", ratingsFallbackValues, "How routing selects a version after ratings have been missing for a long time."),
    boolean("urgent_skips_cascade", "Urgent requests go to one version directly, without a cascade."),
    number("cost_weight", 0, maxWeight, "Weight of cost among versions that reach the target."),
    number("latency_weight", 0, maxWeight, "Weight of latency among versions that reach the target."),
    number("share", 0, maxWeight, "Weight, relative to the other workspaces, for the division of capacity when demand exceeds it."),
};
constexpr std::array callerColumns{
    id("Name of the caller."),
    reference("workspace", TableId::Workspaces, "Workspace of the caller."),
    Column{ .name = "key_sha256", .type = ColumnType::Digest,
        .meaning = "SHA-256 of the caller's key; the key itself is stored nowhere.", .required = true },
    choice("highest_rank", rankValues, "Most urgent rank that the caller may ask for."),
    number("share", 0, maxWeight, "Weight, relative to the other callers, for the division of the workspace's capacity."),
};
constexpr std::array modelColumns{
    id("Name by which callers ask for the model."),
};
constexpr std::array versionColumns{
    id("Name of the version; runners know it by this name."),
    reference("model", TableId::Models, "Model of the version."),
    choice("state", versionStateValues, "A withdrawn version gets no new work."),
    integer("input_price", 0, maxPrice, "Price of input tokens.", "micro-currency per million tokens"),
    integer("output_price", 0, maxPrice, "Price of output tokens.", "micro-currency per million tokens"),
    number("prior_quality", 0, 1, "Quality expected before there are ratings."),
    integer("context", 1, maxTokens, "Most tokens of a request and its answer together.", "tokens"),
};
constexpr std::array weightColumns{
    keyReference("workspace", TableId::Workspaces, "Workspace to which the version is allowed."),
    keyReference("version", TableId::Versions, "Version that is allowed."),
    number("weight", 0, maxWeight,
        "Weight relative to the workspace's other versions of the model; 0 gives it no new sessions."),
};
constexpr std::array limitColumns{
    asKey(choice("scope", limitScopeValues, "Whether the limit applies to a workspace or a caller.")),
    Column{ .name = "subject", .type = ColumnType::Name,
        .meaning = "Id of the workspace or caller; it must exist.", .key = true },
    number("requests_per_second", 0, maxRate, "Requests; 0 stands for no limit.", "requests/s"),
    integer("tokens_per_minute", 0, maxTokens, "Input and output tokens; 0 stands for no limit.", "tokens/min"),
    integer("concurrency", 0, maxRate, "Requests at the same time; 0 stands for no limit.", "requests"),
};
constexpr std::array upstreamColumns{
    id("Name of the runner."),
    choice("kind", upstreamKindValues, "Model runner or application runner."),
    required(Column{ .name = "data_centre", .type = ColumnType::Name,
        .meaning = "Data centre of the runner." }),
    required(Column{ .name = "address", .type = ColumnType::Address,
        .meaning = "IP address and port." }),
    choice("state", upstreamStateValues, "A leaving upstream gets no new work."),
    references("versions", TableId::Versions, "Versions that a model runner has loaded."),
    references("services", TableId::Services, "Plain services that an application runner serves."),
    boolean("checks_fencing", "The upstream rejects requests with a stale fencing token."),
};
constexpr std::array rolloutColumns{
    id("Name of the roll-out."),
    reference("baseline", TableId::Versions, "Version that is in use."),
    reference("candidate", TableId::Versions, "Version of the same model that is introduced."),
    choice("state", rolloutStateValues, "Only a running roll-out gives the candidate work."),
    number("exposure", 0, 1, "Fraction, between 0 and 1, of the baseline's new work that is sent to the candidate."),
    number("max_error_increase", 0, 1, "Increase of the candidate's error rate over the baseline's at which the roll-out halts."),
    number("max_latency_factor", 1, maxWeight, "Ratio of the candidate's latency to the baseline's at which the roll-out halts."),
    number("max_quality_drop", 0, 1, "Decrease of the quality below the baseline's at which the roll-out halts."),
};
constexpr std::array serviceColumns{
    id("Name of the service, as in /services/NAME."),
    boolean("non_idempotent",
        "Calls other than GET and HEAD run at most once and need an Idempotency-Key."),
    integer("timeout", 1, maxTimeoutMs, "Longest time of a call.", "ms"),
    integer("price_per_call", 0, maxPrice, "Price of a call.", "micro-currency"),
};

constexpr std::array tableInfos{
    TableInfo{ TableId::Workspaces, "workspaces", "Tenants with their own callers, quality target and limits.", workspaceColumns },
    TableInfo{ TableId::Callers, "callers", "Clients that send requests, each identified by an API key.", callerColumns },
    TableInfo{ TableId::Models, "models", "Models that callers name.", modelColumns },
    TableInfo{ TableId::Versions, "versions", "Versions of the models.", versionColumns },
    TableInfo{ TableId::Weights, "weights", "Versions allowed to a workspace, and how traffic divides between them.", weightColumns },
    TableInfo{ TableId::Limits, "limits", "Limits on the requests and tokens of a workspace or caller.", limitColumns },
    TableInfo{ TableId::Upstreams, "upstreams", "Model runners and application runners.", upstreamColumns },
    TableInfo{ TableId::Rollouts, "rollouts", "Gradual introductions of a version in place of another.", rolloutColumns },
    TableInfo{ TableId::Services, "services", "Plain (non-model) services, served by application runners.", serviceColumns },
};
// clang-format on

} // namespace

std::span<const TableInfo> tables()
{
    return tableInfos;
}

const TableInfo &describe(TableId table)
{
    return tableInfos.at(static_cast<std::size_t>(table));
}

std::optional<TableId> tableFromName(std::string_view name)
{
    const auto *const found = std::ranges::find(tableInfos, name, &TableInfo::name);
    if (found == tableInfos.end())
        return std::nullopt;
    return found->id;
}

const Column *findColumn(const TableInfo &table, std::string_view name)
{
    const auto found = std::ranges::find(table.columns, name, &Column::name);
    return found != table.columns.end() ? &*found : nullptr;
}

std::span<const std::string_view> rankNames()
{
    return rankValues;
}

std::span<const std::string_view> ratingsFallbackNames()
{
    return ratingsFallbackValues;
}

std::span<const std::string_view> versionStateNames()
{
    return versionStateValues;
}

std::span<const std::string_view> limitScopeNames()
{
    return limitScopeValues;
}

std::span<const std::string_view> upstreamKindNames()
{
    return upstreamKindValues;
}

std::span<const std::string_view> upstreamStateNames()
{
    return upstreamStateValues;
}

std::span<const std::string_view> rolloutStateNames()
{
    return rolloutStateValues;
}

} // namespace acaciasail::table
