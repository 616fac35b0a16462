#include <fstream>
#include <iterator>

#include <nlohmann/json.hpp>

#include "ctl/commands.h"
#include "ctl/tableaccess.h"
#include "ctl/tablefile.h"

namespace acaciasail::ctl {

namespace {

using Json = nlohmann::ordered_json;
using kernel::Error;
using kernel::ResultCode;

const char *toText(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Add:
        return "add";
    case ChangeKind::Change:
        return "change";
    case ChangeKind::Delete:
        break;
    }
    return "delete";
}

Json toJson(const RowChange &change)
{
    Json cells = Json::array();
    for (const CellChange &cell : change.cells) {
        cells.push_back(
            { { "column", cell.column }, { "before", cell.before }, { "after", cell.after } });
    }
    return { { "change", toText(change.kind) },
             { "table", describe(change.key.table).name },
             { "row", change.key.row },
             { "cells", cells } };
}

void printChanges(Session &session, const std::vector<RowChange> &changes)
{
    if (session.options().json) {
        Json json = Json::array();
        for (const RowChange &change : changes)
            json.push_back(toJson(change));
        session.out() << json.dump(2) << "\n";
        return;
    }
    for (const RowChange &change : changes) {
        session.out() << toText(change.kind) << " " << toString(change.key) << "\n";
        if (change.kind != ChangeKind::Change)
            continue;
        for (const CellChange &cell : change.cells) {
            session.out() << "    " << cell.column << ": " << cell.before << " -> " << cell.after
                          << "\n";
        }
    }
    session.out() << changes.size() << " rows differ\n";
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text.append(text.empty() ? "" : "\n").append(line);
    return text;
}

// What a file asks for, against the table as it stands.
struct Plan
{
    table::StoredTable stored;
    std::vector<RowChange> changes;
};

// Reads the file and the table, and checks the rows that would stand after the import.
kernel::Completion<Plan> makePlan(Session &session, bool deleteMissing)
{
    const std::string &name = session.options().arguments[2];
    std::ifstream stream(name);
    if (!stream)
        return Error{ ResultCode::UsageError, "can't read \"" + name + "\"" };
    const std::string text{ std::istreambuf_iterator<char>(stream), {} };
    const TableFile file = parseTableFile(text, name);
    if (!file.mistakes.empty())
        return Error{ ResultCode::RowInvalid, "nothing was written\n" + joinLines(file.mistakes) };
    auto stored = readTable(session);
    if (!stored.ok())
        return stored.error();
    const table::RowMap before = stored.value().rows();
    std::vector<std::string> mistakes;
    for (const auto &error : checkRows(mergeRows(before, file.rows, deleteMissing)))
        mistakes.push_back(toString(error));
    if (!mistakes.empty()) {
        return Error{ ResultCode::DanglingReference,
                      "nothing was written\n" + joinLines(mistakes) };
    }
    return Plan{ std::move(stored.value()), diffRows(before, file.rows, deleteMissing) };
}

// Writes one row of an import; the set was checked as a whole.
kernel::Completion<table::EditOutcome> writeChange(Session &session, const Plan &plan,
                                                   const RowChange &change)
{
    table::EditRequest request;
    request.kind
        = change.kind == ChangeKind::Delete ? table::EditKind::Delete : table::EditKind::Replace;
    request.key = change.key;
    request.row = change.json;
    request.edit = newEditId();
    request.by = session.options().by;
    request.checkReferences = false;
    return session.wait<table::EditOutcome>([&](auto callback) {
        applyEdit(session.platform().objects, session.loop().scheduler(), {}, plan.stored, request,
                  callback);
    });
}

} // namespace

ExitCode runDiff(Session &session)
{
    const auto plan = makePlan(session, true);
    if (!plan.ok())
        return session.fail(plan.error());
    printChanges(session, plan.value().changes);
    return ExitCode::Ok;
}

ExitCode runImport(Session &session)
{
    const auto plan = makePlan(session, session.options().prune);
    if (!plan.ok())
        return session.fail(plan.error());
    if (session.options().dryRun) {
        printChanges(session, plan.value().changes);
        return ExitCode::Ok;
    }
    std::size_t written = 0;
    for (const RowChange &change : plan.value().changes) {
        const auto outcome = writeChange(session, plan.value(), change);
        if (!outcome.ok()) {
            session.err() << written << " of " << plan.value().changes.size()
                          << " rows were written; the same import goes on from there\n";
            return session.fail(outcome.error());
        }
        ++written;
    }
    if (session.options().json)
        session.out() << Json{ { "written", written } }.dump() << "\n";
    else
        session.out() << written << " rows were written\n";
    return ExitCode::Ok;
}

ExitCode runExport(Session &session)
{
    const auto stored = readTable(session);
    if (!stored.ok())
        return session.fail(stored.error());
    const table::RowMap rows = stored.value().rows();
    std::string text;
    if (session.options().json) {
        Json json = Json::object();
        for (const auto &[key, row] : rows) {
            json[std::string(describe(key.table).name)].push_back(
                Json::parse(formatRow(row), nullptr, false));
        }
        text = json.dump(2) + "\n";
    } else {
        text = formatTableFile(rows);
    }
    if (session.options().arguments.size() == 2) {
        session.out() << text;
        return ExitCode::Ok;
    }
    const std::string &name = session.options().arguments[2];
    std::ofstream file(name);
    file << text;
    file.close();
    if (file.fail())
        return session.fail({ ResultCode::UsageError, "can't write \"" + name + "\"" });
    return ExitCode::Ok;
}

} // namespace acaciasail::ctl
