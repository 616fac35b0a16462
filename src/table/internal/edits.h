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
    /// Sets cells of a row. The row is created if it does not exist.
    Set,
    /// Replaces the complete row. Columns that are not given get their defaults.
    Replace,
    Delete,
};

/// One operator's edit of one row.
struct EditRequest
{
    EditKind kind = EditKind::Set;
    RowKey key;
    /// The cells to set, for EditKind::Set.
    std::vector<Cell> cells;
    /// The new row as a JSON object, for EditKind::Replace.
    std::string row;
    /// Unique id of the edit. If the store's reply is lost, this id tells whether the edit took
    /// effect.
    kernel::EditId edit;
    /// The operator who makes the edit.
    std::string by;
    /// Revision that the operator saw. Without a value, the edit applies to the revision that is
    /// found when the edit is checked; 0 requires that the row does not exist.
    std::optional<kernel::Revision> expected;
    /// Check the references between this row and other rows. This is off only for a set of edits
    /// whose references were checked together.
    bool checkReferences = true;
};

/// The result of an accepted edit.
struct EditOutcome
{
    kernel::Revision revision;
    /// The row as a JSON object; empty after a deletion.
    std::string row;
    /// The outcome was determined by a read of the store, because the write's reply was lost or
    /// reported a conflict.
    bool settledByReading = false;
};

/// The table as it is in the store, read with a single list call.
struct StoredTable
{
    struct Entry
    {
        kernel::Revision revision;
        RowValue value;
        /// The parsed row; nullopt for a deleted or invalid row.
        std::optional<Row> row;
        std::vector<RowError> errors;
    };

    std::map<RowKey, Entry> entries;
    kernel::Revision revision;

    /// Returns the rows that are neither deleted nor invalid.
    RowMap rows() const;
};

/// Reads the complete table. Errors: those of ObjectStore::list.
void readTable(const externals::ObjectStore &store, const kernel::Callback<StoredTable> &callback);

struct EditOptions
{
    /// Maximum number of retries of the read that determines the outcome of a write.
    int maxOutcomeReadRetries = 6;
    /// Backoff before the first of these retries; it doubles with each further retry.
    kernel::Duration firstOutcomeReadBackoff = std::chrono::milliseconds(100);
};

/// Makes one edit: reads the table, checks the edit, and writes the row on condition that the row
/// has not changed since it was read. The write is never retried; if its reply is lost, the outcome
/// is read from the store.
///
/// Errors: UnknownColumn, InvalidCell, RowInvalid, DanglingReference, RowNotFound, RowExists,
/// EditConflict (nothing was written; the message says who changed the row and when),
/// WriteOutcomeUnknown (the write may still take effect), and those of ObjectStore.
/// The store and the scheduler must outlive the edit.
void applyEdit(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
               const EditOptions &options, EditRequest request,
               kernel::Callback<EditOutcome> callback);

/// Makes one edit, checked against a table that has already been read.
void applyEdit(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
               const EditOptions &options, const StoredTable &table, EditRequest request,
               kernel::Callback<EditOutcome> callback);

} // namespace acaciasail::table
