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
    return join(row, source, false);
}

std::size_t TableStore::applyAll(std::span<const StoredRow> rows, std::string_view source)
{
    std::size_t changed = 0;
    for (const StoredRow &row : rows)
        changed += join(row, source, true) ? 1U : 0U;
    if (changed > 0) {
        kernel::logEvent(EventId::TableLoaded, { { "source", source },
                                                 { "rows", rows.size() },
                                                 { "changed", changed },
                                                 { "revision", m_revision } });
    }
    return changed;
}

TableStore::Judgement TableStore::judge(const StoredRow &stored)
{
    Judgement judgement;
    if (stored.deleted) {
        judgement.deleted = true;
        return judgement;
    }
    const auto key = parseRowKey(stored.key);
    const auto value = parseRowValue(stored.value);
    if (!key) {
        judgement.errors.push_back(
            { ResultCode::UnknownTable, stored.key, "", "", "this release has no such table" });
        return judgement;
    }
    if (!value.ok()) {
        judgement.errors.push_back({ value.error().code, std::string(describe(key->table).name),
                                     key->row, "", value.error().message });
        return judgement;
    }
    judgement.edit = value.value().edit.str();
    if (value.value().deleted) {
        judgement.deleted = true;
        return judgement;
    }
    CheckedRow checked = parseRow(*key, value.value().row, UnknownColumns::Ignore);
    judgement.row = std::move(checked.row);
    judgement.errors = std::move(checked.errors);
    return judgement;
}

bool TableStore::join(const StoredRow &stored, std::string_view source, bool quiet)
{
    if (stored.revision.count() <= 0)
        return false;
    const auto known = m_entries.find(stored.key);
    if (known != m_entries.end() && stored.revision <= known->second.goodRevision)
        return false;
    if (known != m_entries.end() && stored.revision == known->second.newest.revision)
        return false;
    Judgement judgement = judge(stored);
    const bool good = judgement.errors.empty();
    Entry &entry = m_entries[stored.key];
    const bool newest = stored.revision > entry.newest.revision;
    if (!newest && !good)
        return false;

    std::uint64_t &bucket = m_digest[bucketOf(stored.key)];
    bucket ^= hashOf(stored.key, entry);
    if (good)
        takeGood(entry, stored, judgement, newest);
    if (newest) {
        if (!good && entry.goodRevision == entry.newest.revision && entry.goodRevision.count() > 0)
            entry.lastGood = std::move(entry.newest);
        entry.newest = stored;
        entry.errors = std::move(judgement.errors);
    }
    bucket ^= hashOf(stored.key, entry);
    m_revision = std::max(m_revision, stored.revision);
    announce(stored.key, source);
    if (!good) {
        kernel::logEvent(EventId::RowRejected, { { "row", stored.key },
                                                 { "revision", stored.revision },
                                                 { "in_force", entry.goodRevision },
                                                 { "source", source },
                                                 { "mistakes", joinErrors(entry.errors) } });
    } else if (!quiet) {
        kernel::logEvent(EventId::RowApplied, { { "row", stored.key },
                                                { "revision", stored.revision },
                                                { "deleted", judgement.deleted },
                                                { "edit", judgement.edit },
                                                { "source", source } });
    }
    return true;
}

// Puts a valid row in force. If it isn't the newest revision, which then is invalid, the row is
// kept beside the newest one.
void TableStore::takeGood(Entry &entry, const StoredRow &stored, Judgement &judgement, bool newest)
{
    m_inForce -= entry.row ? 1U : 0U;
    m_inForce += judgement.row ? 1U : 0U;
    entry.row = std::move(judgement.row);
    entry.goodRevision = stored.revision;
    if (newest)
        entry.lastGood.reset();
    else
        entry.lastGood = stored;
    m_snapshot = nullptr;
}

std::uint64_t TableStore::hashOf(const std::string &key, const Entry &entry)
{
    if (entry.newest.revision.count() == 0)
        return 0;
    return kernel::hash64(key + '\n' + std::to_string(entry.newest.revision.count()) + '\n'
                          + std::to_string(entry.goodRevision.count()));
}

void TableStore::announce(const std::string &key, std::string_view source)
{
    const bool first = m_pending.rows.empty();
    m_pending.rows.push_back({ key, std::string(source) });
    if (!first)
        return;
    m_notice = kernel::Timer(*m_scheduler, {}, [this] {
        const TableChanged notice = std::exchange(m_pending, {});
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
        snapshot->revision = std::max(snapshot->revision, entry.goodRevision);
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
    kernel::logEvent(EventId::TableLoaded,
                     { { "source", source }, { "rows", m_inForce }, { "revision", m_revision } });
}

void TableStore::markFresh(kernel::Duration age)
{
    const kernel::Instant at = m_scheduler->now() - age;
    if (!m_freshAt || at > *m_freshAt)
        m_freshAt = at;
}

std::optional<kernel::Duration> TableStore::age() const
{
    if (!m_freshAt)
        return std::nullopt;
    return m_scheduler->now() - *m_freshAt;
}

std::vector<RowRevisions> TableStore::revisionsOfBucket(std::size_t bucket) const
{
    std::vector<RowRevisions> revisions;
    for (const auto &[key, entry] : m_entries) {
        if (bucketOf(key) == bucket)
            revisions.push_back({ key, entry.newest.revision, entry.goodRevision });
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
    if (entry.lastGood)
        rows.push_back(*entry.lastGood);
}

std::vector<RowRevisions> TableStore::liveRows() const
{
    std::vector<RowRevisions> live;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.newest.deleted)
            live.push_back({ key, entry.newest.revision, entry.goodRevision });
    }
    return live;
}

std::vector<RejectedRow> TableStore::rejected() const
{
    std::vector<RejectedRow> rejected;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.errors.empty())
            rejected.push_back({ key, entry.newest.revision, entry.goodRevision, entry.errors });
    }
    return rejected;
}

} // namespace acaciasail::table
