#include <nlohmann/json.hpp>

#include "ctl/commands.h"
#include "ctl/tableaccess.h"
#include "ctl/texttable.h"
#include "table/table.h"

namespace acaciasail::ctl {

namespace {

using Json = nlohmann::ordered_json;
using kernel::Error;
using kernel::ResultCode;
using table::StoredTable;
using table::TableId;

Json rowJson(const StoredTable::Entry &entry)
{
    return { { "row", Json::parse(entry.value.row, nullptr, false) },
             { "revision", entry.revision.count() },
             { "edit", entry.value.edit.str() },
             { "by", entry.value.by },
             { "at", entry.value.at } };
}

void printRows(Session &session, const StoredTable &stored, TableId id)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const table::Column &column : describe(id).columns)
        lines.front().emplace_back(column.name);
    lines.front().emplace_back("revision");
    for (const auto &[key, entry] : stored.entries) {
        if (key.table != id || !entry.row)
            continue;
        auto &line = lines.emplace_back();
        for (const table::CellText &cell : cellTexts(*entry.row))
            line.push_back(cell.text);
        line.push_back(std::to_string(entry.revision.count()));
    }
    session.out() << describe(id).name << "\n";
    printTable(session.out(), lines);
    session.out() << "\n";
}

void printInvalid(Session &session, const StoredTable &stored)
{
    for (const auto &[key, entry] : stored.entries) {
        for (const table::RowError &error : entry.errors)
            session.err() << "invalid: " << toString(error) << "\n";
    }
}

ExitCode listRows(Session &session, const std::optional<TableId> &only)
{
    const auto stored = readTable(session);
    if (!stored.ok())
        return session.fail(stored.error());
    printInvalid(session, stored.value());
    if (session.options().json) {
        Json json = Json::object();
        for (const auto &[key, entry] : stored.value().entries) {
            if (entry.row && (!only || key.table == *only))
                json[std::string(describe(key.table).name)][key.row] = rowJson(entry);
        }
        session.out() << json.dump(2) << "\n";
        return ExitCode::Ok;
    }
    for (const table::TableInfo &info : table::tables()) {
        if (!only || info.id == *only)
            printRows(session, stored.value(), info.id);
    }
    return ExitCode::Ok;
}

ExitCode getRow(Session &session, const table::RowKey &key)
{
    const auto stored = readTable(session);
    if (!stored.ok())
        return session.fail(stored.error());
    const auto found = stored.value().entries.find(key);
    if (found == stored.value().entries.end() || !found->second.row) {
        return session.fail(
            { ResultCode::RowNotFound, "row \"" + toString(key) + "\" does not exist" });
    }
    const StoredTable::Entry &entry = found->second;
    if (session.options().json) {
        session.out() << rowJson(entry).dump(2) << "\n";
        return ExitCode::Ok;
    }
    std::vector<std::vector<std::string>> lines;
    for (const table::CellText &cell : cellTexts(*entry.row))
        lines.push_back({ std::string(cell.column), cell.text });
    lines.push_back({ "(revision)", std::to_string(entry.revision.count()) });
    lines.push_back({ "(last edit)",
                      entry.value.edit.str() + " by " + entry.value.by + " at " + entry.value.at });
    printTable(session.out(), lines);
    return ExitCode::Ok;
}

kernel::Completion<std::vector<table::Cell>> parseCells(const std::vector<std::string> &arguments,
                                                        std::size_t first)
{
    std::vector<table::Cell> cells;
    for (std::size_t i = first; i < arguments.size(); ++i) {
        const std::size_t equals = arguments[i].find('=');
        if (equals == std::string::npos) {
            return Error{ ResultCode::UsageError, "\"" + arguments[i] + "\" is not COLUMN=VALUE" };
        }
        cells.push_back({ arguments[i].substr(0, equals), arguments[i].substr(equals + 1) });
    }
    return cells;
}

ExitCode editRow(Session &session, table::EditRequest request)
{
    request.edit = newEditId();
    request.by = session.options().by;
    request.expected = session.options().revision;
    const auto outcome = session.wait<table::EditOutcome>([&](auto callback) {
        applyEdit(session.platform().objects, session.loop().scheduler(), {}, request, callback);
    });
    if (!outcome.ok())
        return session.fail(outcome.error());
    if (session.options().json) {
        session.out() << Json{
            { "revision", outcome.value().revision.count() }, { "edit", request.edit.str() }
        }.dump() << "\n";
    } else {
        session.out() << toString(request.key) << " has revision " << outcome.value().revision
                      << "\n";
    }
    return ExitCode::Ok;
}

ExitCode setCells(Session &session, const table::RowKey &key)
{
    const auto cells = parseCells(session.options().arguments, 4);
    if (!cells.ok())
        return session.fail(cells.error());
    return editRow(session, { .key = key, .cells = cells.value() });
}

// Runs a command that names a row: `table COMMAND TABLE ROW ...`.
ExitCode runRowCommand(Session &session, const std::string &command)
{
    const std::vector<std::string> &arguments = session.options().arguments;
    const auto id = table::tableFromName(arguments[2]);
    if (!id) {
        return session.fail({ ResultCode::UnknownTable, "no table \"" + arguments[2] + "\"" });
    }
    const table::RowKey key{ *id, arguments[3] };
    if (command == "get")
        return getRow(session, key);
    if (command == "set")
        return setCells(session, key);
    return editRow(session, { .kind = table::EditKind::Delete, .key = key });
}

ExitCode runList(Session &session)
{
    const std::vector<std::string> &arguments = session.options().arguments;
    if (arguments.size() == 2)
        return listRows(session, std::nullopt);
    const auto id = table::tableFromName(arguments[2]);
    if (!id)
        return session.fail({ ResultCode::UnknownTable, "no table \"" + arguments[2] + "\"" });
    return listRows(session, id);
}

} // namespace

kernel::Completion<StoredTable> readTable(Session &session)
{
    return session.wait<StoredTable>(
        [&](auto callback) { table::readTable(session.platform().objects, callback); });
}

kernel::EditId newEditId()
{
    kernel::Random random = kernel::systemRandom();
    return kernel::EditId(kernel::randomId(random, "edit-"));
}

ExitCode runTableCommand(Session &session)
{
    const std::vector<std::string> &arguments = session.options().arguments;
    const std::size_t count = arguments.size();
    const std::string command = count > 1 ? arguments[1] : "";
    if (const auto missing = session.requirePlatform())
        return *missing;
    if (command == "list" && count <= 3)
        return runList(session);
    if ((command == "get" || command == "delete") && count == 4)
        return runRowCommand(session, command);
    if (command == "set" && count >= 5)
        return runRowCommand(session, command);
    if (command == "diff" && count == 3)
        return runDiff(session);
    if (command == "import" && count == 3)
        return runImport(session);
    if (command == "export" && count <= 3)
        return runExport(session);
    return session.fail(
        { ResultCode::UsageError, "no such command of table, or wrong arguments; see --help" });
}

} // namespace acaciasail::ctl
