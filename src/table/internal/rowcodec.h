#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"
#include "table/internal/columns.h"
#include "table/internal/rows.h"

namespace acaciasail::table {

/// Identifies one row of one table.
struct RowKey
{
    TableId table = TableId::Workspaces;
    std::string row;

    friend bool operator==(const RowKey &, const RowKey &) = default;
    friend auto operator<=>(const RowKey &, const RowKey &)
        = default; // NOLINT(modernize-use-nullptr)
};

/// Returns "TABLE/ROW".
std::string toString(const RowKey &key);

/// An error in a row; the column is empty if the error concerns the complete row.
struct RowError
{
    /// UnknownTable, UnknownColumn, InvalidCell, RowInvalid, DanglingReference or MalformedJson.
    kernel::ResultCode code = kernel::ResultCode::RowInvalid;
    std::string table;
    std::string row;
    std::string column;
    std::string message;
};

/// Returns a message that names the table, the row and the column.
std::string toString(const RowError &error);

/// A row that was parsed and validated, or all of its errors.
struct CheckedRow
{
    std::optional<Row> row;
    std::vector<RowError> errors;
    /// The row as a JSON object: all of its columns in order, then any unknown columns.
    std::string json;

    bool ok() const { return row.has_value(); }
};

/// How unknown columns are handled when a row is parsed.
enum class UnknownColumns {
    /// Unknown columns are errors. This is used for edits.
    Refuse,
    /// Unknown columns are ignored, because they may belong to a later release. This is used for
    /// rows from the store.
    Ignore,
};

/// One cell as an operator types it; the elements of a list are separated by commas.
struct Cell
{
    std::string column;
    std::string text;
};

TableId tableOf(const Row &row);

/// Returns the id of a row: its key column, or its key columns joined by a colon.
std::string rowIdOf(const Row &row);

RowKey keyOf(const Row &row);

/// Parses a row from a JSON object and validates each column. Absent columns get their defaults;
/// the key columns are taken from the row id.
CheckedRow parseRow(const RowKey &key, const std::string &json, UnknownColumns unknownColumns);

/// Parses a row whose id is given by its key columns. Unknown columns are errors.
CheckedRow parseRowWithoutId(TableId table, const std::string &json);

/// Formats a row as a JSON object with all of its columns in order.
std::string formatRow(const Row &row);

/// Sets cells of a row; `json` is the current row, or empty for a new row.
CheckedRow setCells(const RowKey &key, const std::string &json, const std::vector<Cell> &cells);

/// A cell as it is shown to operators.
struct CellText
{
    std::string_view column;
    std::string text;
};

/// Returns all cells of a row, in the order of the columns.
std::vector<CellText> cellTexts(const Row &row);

/// Returns the default of a column as it is shown to operators; empty for required columns.
std::string defaultText(TableId table, const Column &column);

} // namespace acaciasail::table
