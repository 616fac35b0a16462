#pragma once

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"
#include "table/internal/references.h"
#include "table/internal/snapshot.h"
#include "table/internal/storedrow.h"

namespace acaciasail::table {

/// Number of buckets of a digest.
constexpr std::size_t bucketCount = 64;

/// One hash for each bucket of keys; table stores with equal rows have equal digests.
using TableDigest = std::array<std::uint64_t, bucketCount>;

std::size_t bucketOf(std::string_view key);

/// The revisions of one row in a table store.
struct RowRevisions
{
    std::string key;
    /// Highest revision seen.
    kernel::Revision newest;
    /// Highest valid revision; 0 if there is none.
    kernel::Revision inForce;

    friend bool operator==(const RowRevisions &, const RowRevisions &) = default;
};

/// A row that changed, and the source of the change.
struct ChangedRow
{
    std::string key;
    std::string source;
};

/// Notification of changed rows, sent at most once per iteration of the event loop.
struct TableChanged
{
    std::vector<ChangedRow> rows;
};

/// A row whose newest revision is invalid.
struct RejectedRow
{
    std::string key;
    kernel::Revision revision;
    /// Revision that stays in force; 0 if there is none.
    kernel::Revision inForce;
    std::vector<RowError> errors;
};

/// The merge of all rows received: for each key the highest revision, and the highest valid one.
///
/// The merge is independent of the order, the duplication and the path of rows, and a row never
/// returns to an earlier revision. An invalid revision is not put in force; the last valid revision
/// stays in force.
class TableStore
{
public:
    explicit TableStore(const kernel::Scheduler &scheduler);
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;

    /// Merges one row. Returns whether anything changed. `source` is logged.
    bool apply(const StoredRow &row, std::string_view source);
    /// Merges many rows with a single log event. Returns the number of rows that changed.
    std::size_t applyAll(std::span<const StoredRow> rows, std::string_view source);

    /// Returns the rows in force. The snapshot is built on the first call after a change.
    SnapshotPtr snapshot() const;
    /// Returns the rows in force, by key.
    RowMap rows() const;
    kernel::Channel<TableChanged> &changes() { return m_changes; }

    /// Records that the table is complete, so that snapshot() can be used from now on.
    void markLoaded(std::string_view source);
    bool loaded() const { return m_loaded; }
    /// Records that this table was known to equal the store's table `age` ago.
    void markFresh(kernel::Duration age = {});
    /// Returns the time since this table was last known to equal the store's; nullopt if never.
    std::optional<kernel::Duration> age() const;

    const TableDigest &digest() const { return m_digest; }
    /// Returns the revisions of all rows of a bucket; peers compare them if their digests differ.
    std::vector<RowRevisions> revisionsOfBucket(std::size_t bucket) const;
    /// Returns the rows of a bucket: the newest revisions and, where the newest revision is
    /// invalid, also the valid one that stays in force.
    std::vector<StoredRow> rowsOfBucket(std::size_t bucket) const;
    /// Returns the stored rows of one key: none, one, or two if the newest revision is invalid.
    std::vector<StoredRow> find(std::string_view key) const;
    /// Returns the rows whose object in the store is not deleted at the newest revision.
    std::vector<RowRevisions> liveRows() const;

    std::vector<RejectedRow> rejected() const;
    /// Returns the highest revision received.
    kernel::Revision revision() const { return m_revision; }
    /// Returns the number of rows in force.
    std::size_t rowCount() const { return m_rowsInForce; }

private:
    struct Entry
    {
        StoredRow newest;
        /// The last valid row, if the newest one is invalid.
        std::optional<StoredRow> lastValid;
        kernel::Revision validRevision;
        /// The row in force; nullopt if the row is deleted or never had a valid revision.
        std::optional<Row> row;
        std::vector<RowError> errors;
    };
    struct ValidationResult
    {
        std::optional<Row> row;
        bool deleted = false;
        std::string edit;
        std::vector<RowError> errors;
    };

    static ValidationResult validate(const StoredRow &row);
    static void appendRows(const Entry &entry, std::vector<StoredRow> &rows);
    static std::uint64_t hashOf(const std::string &key, const Entry &entry);
    bool merge(const StoredRow &row, std::string_view source, bool suppressRowEvent);
    void applyValidRow(Entry &entry, const StoredRow &stored, ValidationResult &validation,
                       bool newest);
    void scheduleNotification(const std::string &key, std::string_view source);

    const kernel::Scheduler *m_scheduler;
    std::map<std::string, Entry, std::less<>> m_entries;
    TableDigest m_digest{};
    kernel::Revision m_revision;
    std::size_t m_rowsInForce = 0;
    bool m_loaded = false;
    std::optional<kernel::Instant> m_currentAt;
    mutable SnapshotPtr m_snapshot;
    TableChanged m_pendingChanges;
    kernel::Timer m_notificationTimer;
    kernel::Channel<TableChanged> m_changes;
};

} // namespace acaciasail::table
