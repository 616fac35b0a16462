#pragma once

#include <map>
#include <string>
#include <vector>

#include "table/internal/rowcodec.h"

namespace acaciasail::table {

/// Rows of all tables, by key.
using RowMap = std::map<RowKey, Row>;

/// A reference from a cell to another row.
struct Reference
{
    std::string column;
    RowKey target;
};

/// Returns the references from a row to other rows.
std::vector<Reference> referencesOf(const Row &row);

/// Checks each row of a set against the others: referenced rows must exist, two callers can't have
/// the same key, and both versions of a roll-out must be of the same model.
std::vector<RowError> checkRows(const RowMap &rows);

/// Checks a row that is about to be added to a set, or to replace a row there.
std::vector<RowError> checkPut(const RowMap &rows, const Row &row);

/// Checks that no row of the set references the row that is about to be deleted.
std::vector<RowError> checkDelete(const RowMap &rows, const RowKey &key);

} // namespace acaciasail::table
