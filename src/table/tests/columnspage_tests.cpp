#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "table/table.h"

using namespace acaciasail::table;

namespace {

std::string formatOf(const Column &column)
{
    std::ostringstream text;
    switch (column.type) {
    case ColumnType::Name:
        return "name";
    case ColumnType::NameList:
        return "names, separated by commas";
    case ColumnType::Number:
        text << "number, " << column.minimum << " to " << column.maximum;
        return text.str();
    case ColumnType::Integer:
        text << "whole number, " << column.minimum << " to " << column.maximum;
        return text.str();
    case ColumnType::Boolean:
        return "`true` or `false`";
    case ColumnType::Choice:
        for (const std::string_view word : column.choices)
            text << (word == column.choices.front() ? "" : ", ") << '`' << word << '`';
        return text.str();
    case ColumnType::Digest:
        return "64 lower-case hexadecimal digits";
    case ColumnType::Address:
        break;
    }
    return "`IP:PORT`";
}

std::string defaultOf(const TableInfo &table, const Column &column)
{
    if (column.key)
        return "part of the row's id";
    if (column.required)
        return "required";
    const std::string text = defaultText(table.id, column);
    return text.empty() ? "none" : "`" + text + "`";
}

std::string columnsPage()
{
    std::ostringstream page;
    page << "# Tables and columns\n\n"
         << "This page is generated from the code. The id of a row is its key column; where a "
            "table has two\nkey columns they are joined by a colon, as in `ws-a:small-1`.\n";
    for (const TableInfo &table : tables()) {
        page << "\n## " << table.name << "\n\n"
             << table.meaning << "\n\n"
             << "| column | value | unit | default | references table | meaning |\n"
             << "|---|---|---|---|---|---|\n";
        for (const Column &column : table.columns) {
            page << "| `" << column.name << "` | " << formatOf(column) << " | " << column.unit
                 << " | " << defaultOf(table, column) << " | "
                 << (column.references ? describe(*column.references).name : "") << " | "
                 << column.meaning << " |\n";
        }
    }
    return page.str();
}

} // namespace

TEST(ColumnsPage, MatchesTheCode)
{
    const std::string path = std::string(ACACIASAIL_SOURCE_DIR) + "/docs/operators/COLUMNS.md";
    if (std::getenv("ACACIASAIL_WRITE_DOCS") != nullptr)
        std::ofstream(path) << columnsPage();
    std::ifstream file(path);
    const std::string found{ std::istreambuf_iterator<char>(file), {} };
    EXPECT_EQ(found, columnsPage())
        << "run table_tests with ACACIASAIL_WRITE_DOCS=1 to regenerate COLUMNS.md";
}
