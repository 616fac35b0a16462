#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::peers {

/// One row of the operators' table, as daemons send it to each other.
struct RowUpdate
{
    std::string key;
    /// The row as JSON text; empty for a deleted row.
    std::string value;
    /// Revision of the store at which the row last changed.
    kernel::Revision revision;
    /// The row is a tombstone.
    bool deleted = false;
    kernel::EditId edit;
};

/// Read access to this daemon's table, for answers to peers.
struct RowSource
{
    /// Returns one hash for each bucket of rows, tombstones included. Tables with equal rows have
    /// equal hashes, and all daemons use the same number of buckets.
    std::function<std::vector<std::uint64_t>()> digest;
    /// Returns all rows of a bucket, tombstones included.
    std::function<std::vector<RowUpdate>(std::size_t bucket)> rowsOfBucket;
    /// Returns whether the complete table was loaded, from the store or from a peer whose table was
    /// complete.
    std::function<bool()> complete;
    /// Returns the highest revision among the rows.
    std::function<kernel::Revision()> revision;
};

/// Write access to this daemon's table, for rows from peers.
struct RowSink
{
    /// Merges a row. Returns whether it was newer than the row known before.
    std::function<bool(const RowUpdate &)> apply;
    /// Records that all rows of a peer with a complete table have been applied.
    std::function<void()> markComplete;
};

} // namespace acaciasail::peers
