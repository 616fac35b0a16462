#include "table/internal/tablestore.h"

#include <algorithm>
#include <utility>

namespace acaciasail::table {

namespace {

using kernel::EventId;
using kernel::ResultCode;

// Inserts a row into the map of its type in the snapshot.
struct SnapshotInserter
{
    Snapshot &snapshot;

    void operator()(const WorkspaceRow &row) { snapshot.workspaces[row.id] = row; }
    void operator()(const CallerRow &row) { snapshot.callers[row.id] = row; }
    void operator()(const ModelRow &row) { snapshot.models[row.id] = row; }
    void operator()(const VersionRow &row) { snapshot.versions[row.id] = row; }
    void operator()(const WeightRow &row) { snapshot.weights[row.workspace].push_back(row); }
    void operator()(const LimitRow &row)
    {
        if (row.scope == LimitScope::Workspace)
            snapshot.workspaceLimits[kernel::WorkspaceId(row.subject)] = row;
        else
            snapshot.callerLimits[kernel::CallerId(row.subject)] = row;
    }
    void operator()(const UpstreamRow &row) { snapshot.upstreams[row.id] = row; }
    void operator()(const RolloutRow &row) { snapshot.rollouts[row.id] = row; }
    void operator()(const ServiceRow &row) { snapshot.services[row.id] = row; }
};

std::string joinErrors(const std::vector<RowError> &errors)
{
    std::string text;
    for (const RowError &error : errors)
        text.append(text.empty() ? "" : "; ").append(toString(error));
    return text;
}

} // namespace

std::size_t bucketOf(std::string_view key)
{
    return kernel::hash64(key) % bucketCount;
}

TableStore::TableStore(const kernel::Scheduler &scheduler)
    : m_scheduler(&scheduler)
    , m_snapshot(std::make_shared<const Snapshot>())
{}

bool TableStore::apply(const StoredRow &row, std::string_view source)
{
    return merge(row, source, false);
}

std::size_t TableStore::applyAll(std::span<const StoredRow> rows, std::string_view source)
{
    std::size_t changed = 0;
    for (const StoredRow &row : rows)
        changed += merge(row, source, true) ? 1U : 0U;
    if (changed > 0) {
        kernel::logEvent(EventId::TableLoaded, { { "source", source },
                                                 { "rows", rows.size() },
                                                 { "changed", changed },
                                                 { "revision", m_revision } });
    }
    return changed;
}

TableStore::ValidationResult TableStore::validate(const StoredRow &stored)
{
    ValidationResult validation;
    if (stored.deleted) {
        validation.deleted = true;
        return validation;
    }
    const auto key = parseRowKey(stored.key);
    const auto value = parseRowValue(stored.value);
    if (!key) {
        validation.errors.push_back(
            { ResultCode::UnknownTable, stored.key, "", "", "this release has no such table" });
        return validation;
    }
    if (!value.ok()) {
        validation.errors.push_back({ value.error().code, std::string(describe(key->table).name),
                                      key->row, "", value.error().message });
        return validation;
    }
    validation.edit = value.value().edit.str();
    if (value.value().deleted) {
        validation.deleted = true;
        return validation;
    }
    CheckedRow checked = parseRow(*key, value.value().row, UnknownColumns::Ignore);
    validation.row = std::move(checked.row);
    validation.errors = std::move(checked.errors);
    return validation;
}

bool TableStore::merge(const StoredRow &stored, std::string_view source, bool suppressRowEvent)
{
    if (stored.revision.count() <= 0)
        return false;
    const auto known = m_entries.find(stored.key);
    if (known != m_entries.end() && stored.revision <= known->second.validRevision)
        return false;
    if (known != m_entries.end() && stored.revision == known->second.newest.revision)
        return false;
    ValidationResult validation = validate(stored);
    const bool valid = validation.errors.empty();
    Entry &entry = m_entries[stored.key];
    const bool newest = stored.revision > entry.newest.revision;
    if (!newest && !valid)
        return false;

    std::uint64_t &bucket = m_digest[bucketOf(stored.key)];
    bucket ^= hashOf(stored.key, entry);
    if (valid)
        applyValidRow(entry, stored, validation, newest);
    if (newest) {
        if (!valid && entry.validRevision == entry.newest.revision
            && entry.validRevision.count() > 0)
            entry.lastValid = std::move(entry.newest);
        entry.newest = stored;
        entry.errors = std::move(validation.errors);
    }
    bucket ^= hashOf(stored.key, entry);
    m_revision = std::max(m_revision, stored.revision);
    scheduleNotification(stored.key, source);
    if (!valid) {
        kernel::logEvent(EventId::RowRejected, { { "row", stored.key },
                                                 { "revision", stored.revision },
                                                 { "in_force", entry.validRevision },
                                                 { "source", source },
                                                 { "mistakes", joinErrors(entry.errors) } });
    } else if (!suppressRowEvent) {
        kernel::logEvent(EventId::RowApplied, { { "row", stored.key },
                                                { "revision", stored.revision },
                                                { "deleted", validation.deleted },
                                                { "edit", validation.edit },
                                                { "source", source } });
    }
    return true;
}

// Puts a valid row in force. If a newer revision exists, that one is invalid, and both are kept.
void TableStore::applyValidRow(Entry &entry, const StoredRow &stored, ValidationResult &validation,
                               bool newest)
{
    m_rowsInForce -= entry.row ? 1U : 0U;
    m_rowsInForce += validation.row ? 1U : 0U;
    entry.row = std::move(validation.row);
    entry.validRevision = stored.revision;
    if (newest)
        entry.lastValid.reset();
    else
        entry.lastValid = stored;
    m_snapshot = nullptr;
}

std::uint64_t TableStore::hashOf(const std::string &key, const Entry &entry)
{
    if (entry.newest.revision.count() == 0)
        return 0;
    return kernel::hash64(key + '\n' + std::to_string(entry.newest.revision.count()) + '\n'
                          + std::to_string(entry.validRevision.count()));
}

void TableStore::scheduleNotification(const std::string &key, std::string_view source)
{
    const bool first = m_pendingChanges.rows.empty();
    m_pendingChanges.rows.push_back({ key, std::string(source) });
    if (!first)
        return;
    m_notificationTimer = kernel::Timer(*m_scheduler, {}, [this] {
        const TableChanged notice = std::exchange(m_pendingChanges, {});
        m_changes.send(notice);
    });
}

SnapshotPtr TableStore::snapshot() const
{
    if (m_snapshot != nullptr)
        return m_snapshot;
    auto snapshot = std::make_shared<Snapshot>();
    for (const auto &[key, entry] : m_entries) {
        if (entry.row)
            std::visit(SnapshotInserter{ *snapshot }, *entry.row);
        snapshot->revision = std::max(snapshot->revision, entry.validRevision);
    }
    buildIndexes(*snapshot);
    m_snapshot = std::move(snapshot);
    return m_snapshot;
}

RowMap TableStore::rows() const
{
    RowMap rows;
    for (const auto &[key, entry] : m_entries) {
        if (entry.row)
            rows.emplace(keyOf(*entry.row), *entry.row);
    }
    return rows;
}

void TableStore::markLoaded(std::string_view source)
{
    if (std::exchange(m_loaded, true))
        return;
    kernel::logEvent(
        EventId::TableLoaded,
        { { "source", source }, { "rows", m_rowsInForce }, { "revision", m_revision } });
}

void TableStore::markFresh(kernel::Duration age)
{
    const kernel::Instant at = m_scheduler->now() - age;
    if (!m_currentAt || at > *m_currentAt)
        m_currentAt = at;
}

std::optional<kernel::Duration> TableStore::age() const
{
    if (!m_currentAt)
        return std::nullopt;
    return m_scheduler->now() - *m_currentAt;
}

std::vector<RowRevisions> TableStore::revisionsOfBucket(std::size_t bucket) const
{
    std::vector<RowRevisions> revisions;
    for (const auto &[key, entry] : m_entries) {
        if (bucketOf(key) == bucket)
            revisions.push_back({ key, entry.newest.revision, entry.validRevision });
    }
    return revisions;
}

std::vector<StoredRow> TableStore::rowsOfBucket(std::size_t bucket) const
{
    std::vector<StoredRow> rows;
    for (const auto &[key, entry] : m_entries) {
        if (bucketOf(key) == bucket)
            appendRows(entry, rows);
    }
    return rows;
}

std::vector<StoredRow> TableStore::find(std::string_view key) const
{
    std::vector<StoredRow> rows;
    const auto found = m_entries.find(key);
    if (found != m_entries.end())
        appendRows(found->second, rows);
    return rows;
}

void TableStore::appendRows(const Entry &entry, std::vector<StoredRow> &rows)
{
    rows.push_back(entry.newest);
    if (entry.lastValid)
        rows.push_back(*entry.lastValid);
}

std::vector<RowRevisions> TableStore::liveRows() const
{
    std::vector<RowRevisions> live;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.newest.deleted)
            live.push_back({ key, entry.newest.revision, entry.validRevision });
    }
    return live;
}

std::vector<RejectedRow> TableStore::rejected() const
{
    std::vector<RejectedRow> rejected;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.errors.empty())
            rejected.push_back({ key, entry.newest.revision, entry.validRevision, entry.errors });
    }
    return rejected;
}

} // namespace acaciasail::table
