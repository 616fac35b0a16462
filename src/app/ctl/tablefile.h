#pragma once

#include <string>
#include <vector>

#include "table/table.h"

namespace acaciasail::ctl {

/// The rows of a TOML file, or all of its mistakes, one a line.
struct TableFile
{
    table::RowMap rows;
    std::vector<std::string> mistakes;
};

/// Reads rows from TOML: `[[TABLE]]` for each row, with its columns. Checks each row, and all rows
/// against each other. `name` stands for the file in mistakes.
TableFile parseTableFile(const std::string &text, const std::string &name);

/// Writes rows as TOML, in an order in which no row names a later one.
std::string formatTableFile(const table::RowMap &rows);

enum class ChangeKind {
    Add,
    Change,
    Delete,
};

/// One cell that differs; a text is empty where the row does not exist.
struct CellChange
{
    std::string column;
    std::string before;
    std::string after;
};

/// How one row differs.
struct RowChange
{
    ChangeKind kind = ChangeKind::Change;
    table::RowKey key;
    std::vector<CellChange> cells;
    /// The row as JSON after the change; empty for a deletion.
    std::string json;
};

/// The changes that make the rows `before` into `after`, in an order in which no row is named
/// before it exists or after it is gone. Rows that only `before` has are deleted if asked for.
std::vector<RowChange> diffRows(const table::RowMap &before, const table::RowMap &after,
                                bool deleteMissing);

/// The rows after some changes of them.
table::RowMap mergeRows(table::RowMap before, const table::RowMap &after, bool deleteMissing);

} // namespace acaciasail::ctl
