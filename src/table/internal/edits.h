#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "externals/externals.h"
#include "kernel/kernel.h"
#include "table/internal/references.h"
#include "table/internal/rowcodec.h"
#include "table/internal/storedrow.h"

namespace acaciasail::table {

enum class EditKind {
    /// Sets cells of a row, which is created if it does not exist.
    Set,
    /// Puts a whole row; columns that are not given get their defaults.
    Replace,
    Delete,
};

/// One operator's edit of one row.
struct EditRequest
{
    EditKind kind = EditKind::Set;
    RowKey key;
    /// For Set.
    std::vector<Cell> cells;
    /// For Replace: the row as a JSON object.
    std::string row;
    /// Unique; a lost reply is settled by it.
    kernel::EditId edit;
    std::string by;
    /// Revision that the operator saw; empty takes the row as it is when the edit is checked,
    /// 0 asks that the row does not exist.
    std::optional<kernel::Revision> expected;
    /// Check against the other rows; off only for a set of edits that was checked as a whole.
    bool checkReferences = true;
};

/// What an accepted edit left in the store.
struct EditOutcome
{
    kernel::Revision revision;
    /// The row as a JSON object; empty after a deletion.
    std::string row;
    /// The reply was lost and the outcome was read from the store.
    bool settledByReading = false;
};

/// The table as it stands in the store, read in one list.
struct StoredTable
{
    struct Entry
    {
        kernel::Revision revision;
        RowValue value;
        /// Empty for a deleted or invalid row.
        std::optional<Row> row;
        std::vector<RowError> errors;
    };

    std::map<RowKey, Entry> entries;
    kernel::Revision revision;

    /// The rows that are neither deleted nor invalid.
    RowMap rows() const;
};

/// Reads the whole table. Errors: those of ObjectStore::list.
void readTable(const externals::ObjectStore &store, const kernel::Callback<StoredTable> &callback);

struct EditOptions
{
    /// Reads that look for the effect of a write whose reply was lost.
    int settleReads = 6;
    /// Time before the first of these reads; it doubles for each further one.
    kernel::Duration settleDelay = std::chrono::milliseconds(100);
};

/// Makes one edit: reads the table, checks the edit, and writes on condition that the row has not
/// changed since. A write is sent once; if its reply is lost, the outcome is read from the store.
///
/// Errors: UnknownColumn, InvalidCell, RowInvalid, DanglingReference, RowNotFound, RowExists,
/// EditConflict (not written; the message says who changed the row and when),
/// WriteOutcomeUnknown (it may still take effect), and those of ObjectStore.
/// The store and the scheduler must outlive the edit.
void applyEdit(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
               const EditOptions &options, EditRequest request,
               kernel::Callback<EditOutcome> callback);

/// Makes one edit against a table that was read before.
void applyEdit(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
               const EditOptions &options, const StoredTable &table, EditRequest request,
               kernel::Callback<EditOutcome> callback);

} // namespace acaciasail::table
