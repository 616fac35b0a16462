#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"
#include "table/internal/rowcodec.h"

namespace acaciasail::table {

/// Key prefix of the table's objects in the platform's store.
constexpr std::string_view objectPrefix = "table/";

/// One row at some revision of the store. Daemons forward it to each other unchanged.
struct StoredRow
{
    /// "TABLE/ROW".
    std::string key;
    /// The object's value as JSON text; empty if the object itself was deleted.
    std::string value;
    kernel::Revision revision;
    /// The object itself was deleted. An edit that deletes a row doesn't delete the object but
    /// writes a value with RowValue::deleted.
    bool deleted = false;

    friend bool operator==(const StoredRow &, const StoredRow &) = default;
};

/// The content of an object of the table.
struct RowValue
{
    /// The row as a JSON object; empty for a deleted row.
    std::string row;
    /// The edit that wrote the value, who made it, and when (UTC, ISO 8601).
    kernel::EditId edit;
    std::string by;
    std::string at;
    /// The most recent of the edits before this one, latest first.
    std::vector<kernel::EditId> previous;
    /// This edit deleted the row.
    bool deleted = false;
};

std::string formatRowValue(const RowValue &value);

/// Parses the value of an object of the table. Errors: MalformedJson.
kernel::Completion<RowValue> parseRowValue(const std::string &text);

/// Returns the key of a row's object in the store.
std::string objectKey(const RowKey &key);

/// Parses a key of the form "TABLE/ROW". Returns nullopt if there is no such table.
std::optional<RowKey> parseRowKey(std::string_view key);

} // namespace acaciasail::table
