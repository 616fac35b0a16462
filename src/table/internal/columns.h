#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "table/internal/rows.h"

namespace acaciasail::table {

/// The tables, in the order of the alternatives of Row.
enum class TableId {
    Workspaces,
    Callers,
    Models,
    Versions,
    Weights,
    Limits,
    Upstreams,
    Rollouts,
    Services,
};

enum class ColumnType {
    /// An id: letters, digits, dot, underscore and hyphen; at most 64 characters.
    Name,
    /// Several ids, without duplicates.
    NameList,
    Number,
    Integer,
    Boolean,
    /// One of a fixed set of values.
    Choice,
    /// A SHA-256 digest in lower-case hexadecimal.
    Digest,
    /// IP address and port, as "10.0.0.1:8080".
    Address,
};

/// Describes a column.
struct Column
{
    std::string_view name;
    ColumnType type = ColumnType::Name;
    std::string_view meaning;
    /// Unit of a number; empty for a number without a unit.
    std::string_view unit;
    /// Valid range of a number, both bounds included.
    double minimum = 0;
    double maximum = 0;
    std::span<const std::string_view> choices;
    /// The table that must contain the row whose id is this column's value.
    std::optional<TableId> references;
    /// The column is part of the row's id.
    bool key = false;
    /// The column has no default. Key columns are always required, whatever this flag says.
    bool required = false;
};

/// Describes a table.
struct TableInfo
{
    TableId id = TableId::Workspaces;
    std::string_view name;
    std::string_view meaning;
    std::span<const Column> columns;
};

/// Returns all tables, in the order of their ids.
std::span<const TableInfo> tables();

const TableInfo &describe(TableId table);

/// Returns the table with a name; nullopt if there is none.
std::optional<TableId> tableFromName(std::string_view name);

/// Returns the column with a name; null if there is none.
const Column *findColumn(const TableInfo &table, std::string_view name);

/// Return the values of an enumeration as they are written in a row, in the order of the
/// enumerators.
std::span<const std::string_view> rankNames();
std::span<const std::string_view> ratingsFallbackNames();
std::span<const std::string_view> versionStateNames();
std::span<const std::string_view> limitScopeNames();
std::span<const std::string_view> upstreamKindNames();
std::span<const std::string_view> upstreamStateNames();
std::span<const std::string_view> rolloutStateNames();

} // namespace acaciasail::table
