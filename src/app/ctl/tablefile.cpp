#include "ctl/tablefile.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

namespace acaciasail::ctl {

namespace {

using table::ColumnType;
using table::TableId;

// Each table stands after those that its rows name.
constexpr std::array writeOrder{ TableId::Models,     TableId::Services,  TableId::Versions,
                                 TableId::Workspaces, TableId::Callers,   TableId::Weights,
                                 TableId::Limits,     TableId::Upstreams, TableId::Rollouts };

std::string lineOf(const toml::node &node)
{
    return std::to_string(node.source().begin.line);
}

std::string toJson(const toml::table &row)
{
    std::ostringstream text;
    text << toml::json_formatter{ row };
    return text.str();
}

void readRow(TableId id, const toml::node &node, const std::string &name, TableFile &file)
{
    const std::string place = name + ":" + lineOf(node) + ": ";
    const toml::table *row = node.as_table();
    if (row == nullptr) {
        file.mistakes.push_back(place + "a row is not a table of columns");
        return;
    }
    table::CheckedRow checked = table::parseRowWithoutId(id, toJson(*row));
    for (const table::RowError &error : checked.errors)
        file.mistakes.push_back(place + toString(error));
    if (!checked.ok())
        return;
    const table::RowKey key = keyOf(*checked.row);
    if (!file.rows.emplace(key, std::move(*checked.row)).second)
        file.mistakes.push_back(place + "row \"" + toString(key) + "\" stands twice");
}

void readTable(const std::string &table, const toml::node &node, const std::string &name,
               TableFile &file)
{
    const auto id = table::tableFromName(table);
    const toml::array *rows = node.as_array();
    std::string mistake = name + ":" + lineOf(node) + ": ";
    if (!id) {
        mistake.append("no table \"").append(table).append("\"");
        file.mistakes.push_back(std::move(mistake));
    } else if (rows == nullptr) {
        mistake.append("rows are written as [[").append(table).append("]]");
        file.mistakes.push_back(std::move(mistake));
    } else {
        for (const toml::node &row : *rows)
            readRow(*id, row, name, file);
    }
}

void readTables(const toml::table &root, const std::string &name, TableFile &file)
{
    for (const auto &[key, node] : root)
        readTable(std::string(key.str()), node, name, file);
}

// A JSON value of a cell is a TOML value too.
std::string tomlRow(const table::Row &row)
{
    const auto json = nlohmann::ordered_json::parse(formatRow(row));
    std::string text = "[[" + std::string(describe(tableOf(row)).name) + "]]\n";
    for (const auto &[column, value] : json.items())
        text += column + " = " + value.dump() + "\n";
    return text;
}

std::vector<CellChange> diffCells(const table::Row *before, const table::Row *after)
{
    const auto beforeCells
        = before != nullptr ? cellTexts(*before) : std::vector<table::CellText>();
    const auto afterCells = after != nullptr ? cellTexts(*after) : std::vector<table::CellText>();
    std::vector<CellChange> changes;
    for (std::size_t i = 0; i < std::max(beforeCells.size(), afterCells.size()); ++i) {
        const std::string old = i < beforeCells.size() ? beforeCells[i].text : "";
        const std::string now = i < afterCells.size() ? afterCells[i].text : "";
        const std::string_view column
            = i < afterCells.size() ? afterCells[i].column : beforeCells[i].column;
        if (old != now)
            changes.push_back({ std::string(column), old, now });
    }
    return changes;
}

std::vector<RowChange> putsOf(TableId id, const table::RowMap &before, const table::RowMap &after)
{
    std::vector<RowChange> changes;
    for (const auto &[key, row] : after) {
        if (key.table != id)
            continue;
        const auto old = before.find(key);
        const table::Row *oldRow = old != before.end() ? &old->second : nullptr;
        auto cells = diffCells(oldRow, &row);
        if (cells.empty())
            continue;
        const ChangeKind kind = oldRow != nullptr ? ChangeKind::Change : ChangeKind::Add;
        changes.push_back({ kind, key, std::move(cells), formatRow(row) });
    }
    return changes;
}

} // namespace

TableFile parseTableFile(const std::string &text, const std::string &name)
{
    TableFile file;
    try {
        readTables(toml::parse(text, name), name, file);
    } catch (const toml::parse_error &error) {
        file.mistakes.push_back(name + ":" + std::to_string(error.source().begin.line) + ": "
                                + std::string(error.description()));
        return file;
    }
    if (!file.mistakes.empty())
        return file;
    for (const table::RowError &error : checkRows(file.rows))
        file.mistakes.push_back(name + ": " + toString(error));
    return file;
}

std::string formatTableFile(const table::RowMap &rows)
{
    std::string text;
    for (const TableId id : writeOrder) {
        for (const auto &[key, row] : rows) {
            if (key.table == id)
                text.append(text.empty() ? "" : "\n").append(tomlRow(row));
        }
    }
    return text;
}

std::vector<RowChange> diffRows(const table::RowMap &before, const table::RowMap &after,
                                bool deleteMissing)
{
    std::vector<RowChange> changes;
    for (const TableId id : writeOrder) {
        auto puts = putsOf(id, before, after);
        std::ranges::move(puts, std::back_inserter(changes));
    }
    if (!deleteMissing)
        return changes;
    for (auto id = writeOrder.rbegin(); id != writeOrder.rend(); ++id) {
        for (const auto &[key, row] : before) {
            if (key.table == *id && !after.contains(key))
                changes.push_back({ ChangeKind::Delete, key, diffCells(&row, nullptr), {} });
        }
    }
    return changes;
}

table::RowMap mergeRows(table::RowMap before, const table::RowMap &after, bool deleteMissing)
{
    if (deleteMissing)
        return after;
    for (const auto &[key, row] : after)
        before.insert_or_assign(key, row);
    return before;
}

} // namespace acaciasail::ctl
