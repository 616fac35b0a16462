#include "table/internal/references.h"

#include "table/internal/rowfields.h"

namespace acaciasail::table {

namespace {

using kernel::ResultCode;

// Collects the references in the columns that refer to other tables.
struct ReferenceCollector
{
    const TableInfo &table;
    std::vector<Reference> &found;

    template<class Tag>
    void operator()(const char *column, const kernel::Id<Tag> &value)
    {
        add(column, value.str());
    }
    template<class Tag>
    void operator()(const char *column, const std::vector<kernel::Id<Tag>> &values)
    {
        for (const auto &value : values)
            add(column, value.str());
    }
    template<class Other>
    void operator()(const char *, const Other &)
    {}

    void add(const char *column, const std::string &name)
    {
        const Column *info = findColumn(table, column);
        if (info != nullptr && info->references)
            found.push_back({ column, { *info->references, name } });
    }
};

RowError makeError(ResultCode code, const RowKey &key, std::string column, std::string message)
{
    return { code, std::string(describe(key.table).name), key.row, std::move(column),
             std::move(message) };
}

void checkRollout(const RowMap &rows, const RowKey &key, const RolloutRow &rollout,
                  std::vector<RowError> &errors)
{
    const auto baseline = rows.find({ TableId::Versions, rollout.baseline.str() });
    const auto candidate = rows.find({ TableId::Versions, rollout.candidate.str() });
    if (baseline == rows.end() || candidate == rows.end())
        return;
    if (std::get<VersionRow>(baseline->second).model
        != std::get<VersionRow>(candidate->second).model) {
        errors.push_back(makeError(ResultCode::RowInvalid, key, "candidate",
                                   "is of another model than the baseline"));
    }
}

void checkCallerKey(const RowMap &rows, const RowKey &key, const CallerRow &caller,
                    std::vector<RowError> &errors)
{
    for (auto it = rows.lower_bound({ TableId::Callers, "" });
         it != rows.end() && it->first.table == TableId::Callers; ++it) {
        const auto &other = std::get<CallerRow>(it->second);
        if (other.id != caller.id && other.keySha256 == caller.keySha256) {
            errors.push_back(makeError(ResultCode::RowInvalid, key, "key_sha256",
                                       "is also the key of caller \"" + other.id.str() + "\""));
        }
    }
}

void checkReferencedRowsExist(const RowMap &rows, const RowKey &key, const Row &row,
                              std::vector<RowError> &errors)
{
    for (const Reference &reference : referencesOf(row)) {
        if (!rows.contains(reference.target)) {
            errors.push_back(
                makeError(ResultCode::DanglingReference, key, reference.column,
                          "names \"" + toString(reference.target) + "\", which does not exist"));
        }
    }
}

void checkRow(const RowMap &rows, const RowKey &key, const Row &row, std::vector<RowError> &errors)
{
    checkReferencedRowsExist(rows, key, row, errors);
    if (const auto *rollout = std::get_if<RolloutRow>(&row))
        checkRollout(rows, key, *rollout, errors);
}

// Finds callers that have the same key, in one pass over a complete set.
void checkCallerKeys(const RowMap &rows, std::vector<RowError> &errors)
{
    std::map<std::string, std::string> callersByKey;
    for (auto it = rows.lower_bound({ TableId::Callers, "" });
         it != rows.end() && it->first.table == TableId::Callers; ++it) {
        const auto &caller = std::get<CallerRow>(it->second);
        const auto [other, isNew] = callersByKey.emplace(caller.keySha256, caller.id.str());
        if (!isNew) {
            errors.push_back(makeError(ResultCode::RowInvalid, it->first, "key_sha256",
                                       "is also the key of caller \"" + other->second + "\""));
        }
    }
}

} // namespace

std::vector<Reference> referencesOf(const Row &row)
{
    std::vector<Reference> found;
    Row copy = row;
    ReferenceCollector collector{ describe(tableOf(row)), found };
    std::visit([&](auto &fields) { visitFields(fields, collector); }, copy);
    if (const auto *limit = std::get_if<LimitRow>(&row)) {
        const TableId table
            = limit->scope == LimitScope::Workspace ? TableId::Workspaces : TableId::Callers;
        found.push_back({ "subject", { table, limit->subject } });
    }
    return found;
}

std::vector<RowError> checkRows(const RowMap &rows)
{
    std::vector<RowError> errors;
    for (const auto &[key, row] : rows)
        checkRow(rows, key, row, errors);
    checkCallerKeys(rows, errors);
    return errors;
}

std::vector<RowError> checkPut(const RowMap &rows, const Row &row)
{
    std::vector<RowError> errors;
    const RowKey key = keyOf(row);
    checkRow(rows, key, row, errors);
    if (const auto *caller = std::get_if<CallerRow>(&row))
        checkCallerKey(rows, key, *caller, errors);
    return errors;
}

std::vector<RowError> checkDelete(const RowMap &rows, const RowKey &key)
{
    std::vector<RowError> errors;
    for (const auto &[other, row] : rows) {
        for (const Reference &reference : referencesOf(row)) {
            if (reference.target == key) {
                errors.push_back(
                    makeError(ResultCode::DanglingReference, other, reference.column,
                              "names \"" + toString(key) + "\", which therefore can't be deleted"));
            }
        }
    }
    return errors;
}

} // namespace acaciasail::table
