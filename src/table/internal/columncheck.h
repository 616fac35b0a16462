#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "table/internal/columns.h"

namespace acaciasail::table {

/// Validates the value of a column. Returns an error message; empty if the value is valid.
std::string checkValue(const Column &column, const nlohmann::ordered_json &value);

/// Returns a value as JSON text for messages, with invalid UTF-8 replaced.
std::string toPrintableJson(const nlohmann::ordered_json &value);

/// Returns whether a text is a valid id.
bool isValidId(std::string_view text);

/// Converts the text of a cell that an operator typed to a JSON value. A text that does not match
/// the column's type becomes a JSON string, which checkValue() rejects.
nlohmann::ordered_json parseCellText(const Column &column, const std::string &text);

/// Converts the JSON value of a cell to the text that is shown to operators.
std::string toCellText(const nlohmann::ordered_json &value);

} // namespace acaciasail::table
