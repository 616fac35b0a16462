#include "table/internal/rowcodec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "table/internal/columncheck.h"
#include "table/internal/rowfields.h"

namespace acaciasail::table {

namespace {

using Json = nlohmann::ordered_json;
using kernel::ResultCode;

constexpr char keySeparator = ':';

// Return the values of an enumeration as they are written in a row.
std::span<const std::string_view> valuesOf(Rank)
{
    return rankNames();
}
std::span<const std::string_view> valuesOf(RatingsFallback)
{
    return ratingsFallbackNames();
}
std::span<const std::string_view> valuesOf(VersionState)
{
    return versionStateNames();
}
std::span<const std::string_view> valuesOf(LimitScope)
{
    return limitScopeNames();
}
std::span<const std::string_view> valuesOf(UpstreamKind)
{
    return upstreamKindNames();
}
std::span<const std::string_view> valuesOf(UpstreamState)
{
    return upstreamStateNames();
}
std::span<const std::string_view> valuesOf(RolloutState)
{
    return rolloutStateNames();
}

// Writes each column of a row to a JSON object.
struct FieldWriter
{
    Json &json;

    template<class Value>
    void operator()(const char *column, const Value &value)
    {
        json[column] = toJson(value);
    }

    static Json toJson(const std::string &value) { return value; }
    static Json toJson(bool value) { return value; }
    static Json toJson(double value) { return value; }
    static Json toJson(std::int64_t value) { return value; }
    static Json toJson(kernel::Duration value) { return kernel::toMilliseconds(value); }
    static Json toJson(const kernel::Endpoint &value) { return kernel::toString(value); }
    template<class Tag>
    static Json toJson(const kernel::Id<Tag> &value)
    {
        return value.str();
    }
    template<class Tag>
    static Json toJson(kernel::Amount<Tag> value)
    {
        return value.count();
    }
    template<class Element>
    static Json toJson(const std::vector<Element> &values)
    {
        Json list = Json::array();
        for (const Element &value : values)
            list.push_back(toJson(value));
        return list;
    }
    template<class Enumeration>
    requires std::is_enum_v<Enumeration>
    static Json toJson(Enumeration value)
    {
        return valuesOf(value)[static_cast<std::size_t>(value)];
    }
};

// Sets each member of a row from validated JSON. Members whose columns are absent keep their
// defaults.
struct FieldReader
{
    const Json &json;

    template<class Value>
    void operator()(const char *column, Value &value)
    {
        const auto found = json.find(column);
        if (found != json.end())
            fromJson(*found, value);
    }

    static void fromJson(const Json &json, std::string &value) { value = json.get<std::string>(); }
    static void fromJson(const Json &json, bool &value) { value = json.get<bool>(); }
    static void fromJson(const Json &json, double &value) { value = json.get<double>(); }
    static void fromJson(const Json &json, std::int64_t &value)
    {
        value = json.get<std::int64_t>();
    }
    static void fromJson(const Json &json, kernel::Duration &value)
    {
        value = std::chrono::milliseconds(json.get<std::int64_t>());
    }
    static void fromJson(const Json &json, kernel::Endpoint &value)
    {
        const auto text = json.get<std::string>();
        const std::size_t colon = text.rfind(':');
        value.ip = text.substr(0, colon);
        value.port = static_cast<unsigned short>(std::stoi(text.substr(colon + 1)));
    }
    template<class Tag>
    static void fromJson(const Json &json, kernel::Id<Tag> &value)
    {
        value = kernel::Id<Tag>(json.get<std::string>());
    }
    template<class Tag>
    static void fromJson(const Json &json, kernel::Amount<Tag> &value)
    {
        value = kernel::Amount<Tag>(json.get<std::int64_t>());
    }
    template<class Element>
    static void fromJson(const Json &json, std::vector<Element> &values)
    {
        values.clear();
        for (const Json &element : json)
            fromJson(element, values.emplace_back());
    }
    template<class Enumeration>
    requires std::is_enum_v<Enumeration>
    static void fromJson(const Json &json, Enumeration &value)
    {
        const auto enumValues = valuesOf(Enumeration{});
        const auto found = std::ranges::find(enumValues, json.get<std::string>());
        value = static_cast<Enumeration>(found - enumValues.begin());
    }
};

Json toJson(const Row &row)
{
    Json json = Json::object();
    Row copy = row;
    std::visit([&](auto &fields) { visitFields(fields, FieldWriter{ json }); }, copy);
    return json;
}

template<std::size_t... Indexes>
Row defaultRow(std::size_t index, std::index_sequence<Indexes...>)
{
    Row row;
    ((index == Indexes ? static_cast<void>(row.emplace<Indexes>()) : void()), ...);
    return row;
}

Row defaultRow(TableId table)
{
    return defaultRow(static_cast<std::size_t>(table),
                      std::make_index_sequence<std::variant_size_v<Row>>());
}

// Collects the errors of one row.
class RowErrorCollector
{
public:
    explicit RowErrorCollector(const RowKey &key)
        : m_table(describe(key.table).name)
        , m_row(key.row)
    {}

    void add(ResultCode code, std::string_view column, std::string message)
    {
        m_errors.push_back({ code, m_table, m_row, std::string(column), std::move(message) });
    }
    bool empty() const { return m_errors.empty(); }
    std::vector<RowError> take() { return std::move(m_errors); }

private:
    std::string m_table;
    std::string m_row;
    std::vector<RowError> m_errors;
};

std::vector<std::string> splitKey(const std::string &row)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = row.find(keySeparator, begin);
        parts.push_back(row.substr(begin, end - begin));
        if (end == std::string::npos)
            return parts;
        begin = end + 1;
    }
}

std::vector<const Column *> keyColumns(TableId table)
{
    std::vector<const Column *> columns;
    for (const Column &column : describe(table).columns) {
        if (column.key)
            columns.push_back(&column);
    }
    return columns;
}

// Sets the key columns from the row id. A key column with another value is an error.
void applyKey(const RowKey &key, Json &json, RowErrorCollector &errors)
{
    const auto columns = keyColumns(key.table);
    const auto parts = splitKey(key.row);
    if (parts.size() != columns.size()) {
        errors.add(ResultCode::RowInvalid, "",
                   "the id has " + std::to_string(parts.size()) + " parts instead of "
                       + std::to_string(columns.size()));
        return;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::string name(columns[i]->name);
        if (json.contains(name) && json[name] != parts[i]) {
            errors.add(ResultCode::InvalidCell, name,
                       toPrintableJson(json[name]) + " differs from the row's id");
        }
        json[name] = parts[i];
    }
}

void checkColumns(TableId table, const Json &json, UnknownColumns unknownColumns,
                  RowErrorCollector &errors)
{
    const TableInfo &info = describe(table);
    for (const Column &column : info.columns) {
        const auto found = json.find(std::string(column.name));
        if (found != json.end()) {
            std::string error = checkValue(column, *found);
            if (!error.empty())
                errors.add(ResultCode::InvalidCell, column.name, std::move(error));
        } else if (column.required || column.key) {
            errors.add(ResultCode::InvalidCell, column.name, "is required");
        }
    }
    if (unknownColumns == UnknownColumns::Ignore)
        return;
    for (const auto &[name, value] : json.items()) {
        if (findColumn(info, name) == nullptr)
            errors.add(ResultCode::UnknownColumn, name, "the table has no such column");
    }
}

void checkRules(const RolloutRow &row, RowErrorCollector &errors)
{
    if (row.baseline == row.candidate)
        errors.add(ResultCode::RowInvalid, "candidate", "is the baseline itself");
}

void checkRules(const UpstreamRow &row, RowErrorCollector &errors)
{
    if (row.kind == UpstreamKind::Model && !row.services.empty())
        errors.add(ResultCode::RowInvalid, "services", "a model runner serves no services");
    if (row.kind == UpstreamKind::Application && !row.versions.empty())
        errors.add(ResultCode::RowInvalid, "versions", "an application runner has no versions");
}

template<class OtherRow>
void checkRules(const OtherRow &, RowErrorCollector &)
{}

CheckedRow makeRow(TableId table, const Json &json, UnknownColumns unknownColumns,
                   RowErrorCollector &errors)
{
    checkColumns(table, json, unknownColumns, errors);
    if (!errors.empty())
        return { std::nullopt, errors.take(), {} };
    Row row = defaultRow(table);
    std::visit(
        [&](auto &fields) {
            visitFields(fields, FieldReader{ json });
            checkRules(fields, errors);
        },
        row);
    if (!errors.empty())
        return { std::nullopt, errors.take(), {} };
    Json canonical = toJson(row);
    for (const auto &[name, value] : json.items()) {
        if (!canonical.contains(name))
            canonical[name] = value;
    }
    return { std::move(row), {}, toPrintableJson(canonical) };
}

std::optional<Json> parseObject(const std::string &text, RowErrorCollector &errors)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_object())
        return json;
    errors.add(ResultCode::MalformedJson, "", "the row is not a JSON object");
    return std::nullopt;
}

} // namespace

std::string toString(const RowKey &key)
{
    return std::string(describe(key.table).name) + "/" + key.row;
}

std::string toString(const RowError &error)
{
    std::string text = "table \"" + error.table + "\", row \"" + error.row + "\"";
    if (!error.column.empty())
        text += ", column \"" + error.column + "\"";
    return text + ": " + error.message;
}

TableId tableOf(const Row &row)
{
    return static_cast<TableId>(row.index());
}

std::string rowIdOf(const Row &row)
{
    const Json json = toJson(row);
    std::string id;
    for (const Column *column : keyColumns(tableOf(row))) {
        if (!id.empty())
            id += keySeparator;
        id += json[std::string(column->name)].get<std::string>();
    }
    return id;
}

RowKey keyOf(const Row &row)
{
    return { tableOf(row), rowIdOf(row) };
}

CheckedRow parseRow(const RowKey &key, const std::string &json, UnknownColumns unknownColumns)
{
    RowErrorCollector errors(key);
    auto object = parseObject(json, errors);
    if (!object)
        return { std::nullopt, errors.take(), {} };
    applyKey(key, *object, errors);
    if (!errors.empty())
        return { std::nullopt, errors.take(), {} };
    return makeRow(key.table, *object, unknownColumns, errors);
}

CheckedRow parseRowWithoutId(TableId table, const std::string &json)
{
    RowKey key{ table, "" };
    const Json object = Json::parse(json, nullptr, false);
    for (const Column *column : keyColumns(table)) {
        const std::string name(column->name);
        if (!key.row.empty())
            key.row += keySeparator;
        if (object.is_object() && object.contains(name) && object[name].is_string())
            key.row += object[name].get<std::string>();
        else
            key.row += '?';
    }
    RowErrorCollector errors(key);
    auto parsed = parseObject(json, errors);
    if (!parsed)
        return { std::nullopt, errors.take(), {} };
    return makeRow(table, *parsed, UnknownColumns::Refuse, errors);
}

std::string formatRow(const Row &row)
{
    return toJson(row).dump();
}

CheckedRow setCells(const RowKey &key, const std::string &json, const std::vector<Cell> &cells)
{
    RowErrorCollector errors(key);
    auto object = parseObject(json.empty() ? "{}" : json, errors);
    if (!object)
        return { std::nullopt, errors.take(), {} };
    applyKey(key, *object, errors);
    if (!errors.empty())
        return { std::nullopt, errors.take(), {} };
    const TableInfo &info = describe(key.table);
    for (const Cell &cell : cells) {
        const Column *column = findColumn(info, cell.column);
        if (column == nullptr)
            errors.add(ResultCode::UnknownColumn, cell.column, "the table has no such column");
        else if (column->key && (*object)[cell.column] != cell.text)
            errors.add(ResultCode::InvalidCell, cell.column, "is part of the row's id");
        else
            (*object)[cell.column] = parseCellText(*column, cell.text);
    }
    return makeRow(key.table, *object, UnknownColumns::Ignore, errors);
}

std::vector<CellText> cellTexts(const Row &row)
{
    const Json json = toJson(row);
    std::vector<CellText> cells;
    for (const Column &column : describe(tableOf(row)).columns)
        cells.push_back({ column.name, toCellText(json[std::string(column.name)]) });
    return cells;
}

std::string defaultText(TableId table, const Column &column)
{
    if (column.key || column.required)
        return {};
    return toCellText(toJson(defaultRow(table))[std::string(column.name)]);
}

} // namespace acaciasail::table
