#include "table/internal/edits.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

namespace acaciasail::table {

namespace {

using kernel::Error;
using kernel::ResultCode;
using kernel::Revision;

// Maximum number of ids in RowValue::previous. An edit whose reply was lost and that was
// overwritten more often than this before the outcome was read is reported as a conflict although
// it took effect.
constexpr std::size_t maxPreviousEdits = 8;

// Formats a time in UTC as ISO 8601, such as "2026-01-01T00:00:00Z".
std::string formatTime(kernel::WallTime time)
{
    const std::time_t seconds
        = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length
        = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { text.data(), length };
}

Error combineErrors(const std::vector<RowError> &errors)
{
    std::string message;
    for (const RowError &error : errors)
        message.append(message.empty() ? "" : "\n").append(toString(error));
    return { errors.front().code, message };
}

Error conflictError(const RowKey &key, const RowValue &value, Revision revision)
{
    return { ResultCode::EditConflict,
             "row \"" + toString(key) + "\" was " + (value.deleted ? "deleted" : "changed") + " by "
                 + (value.by.empty() ? "someone unknown" : "\"" + value.by + "\"")
                 + (value.at.empty() ? "" : " at " + value.at) + " (revision "
                 + std::to_string(revision.count()) + ", edit " + value.edit.str()
                 + "); nothing was written" };
}

bool containsEdit(const RowValue &value, const kernel::EditId &edit)
{
    return value.edit == edit || std::ranges::find(value.previous, edit) != value.previous.end();
}

// The row as the edit found it in the table.
struct CurrentRow
{
    Revision revision;
    RowValue value;
    bool objectExists = false;
    bool rowExists = false;
};

CurrentRow currentRow(const StoredTable &table, const RowKey &key)
{
    const auto found = table.entries.find(key);
    if (found == table.entries.end())
        return {};
    return { found->second.revision, found->second.value, true, !found->second.value.deleted };
}

std::optional<Error> checkExpected(const EditRequest &request, const CurrentRow &current)
{
    if (request.kind == EditKind::Delete && !current.rowExists)
        return Error{ ResultCode::RowNotFound,
                      "row \"" + toString(request.key) + "\" does not exist" };
    if (!request.expected)
        return std::nullopt;
    if (request.expected->count() == 0) {
        if (!current.rowExists)
            return std::nullopt;
        return Error{ ResultCode::RowExists, "row \"" + toString(request.key)
                                                 + "\" exists already (revision "
                                                 + std::to_string(current.revision.count()) + ")" };
    }
    if (!current.objectExists)
        return Error{ ResultCode::RowNotFound,
                      "row \"" + toString(request.key) + "\" does not exist" };
    if (*request.expected != current.revision)
        return conflictError(request.key, current.value, current.revision);
    return std::nullopt;
}

// Returns the value to write, or the error for which the edit is rejected.
kernel::Completion<RowValue> makeValue(const StoredTable &table, const EditRequest &request,
                                       const CurrentRow &current)
{
    RowValue value;
    std::vector<RowError> errors;
    if (request.kind == EditKind::Delete) {
        value.deleted = true;
        if (request.checkReferences)
            errors = checkDelete(table.rows(), request.key);
    } else {
        CheckedRow checked = request.kind == EditKind::Set
                                 ? setCells(request.key, current.value.row, request.cells)
                                 : parseRow(request.key, request.row, UnknownColumns::Refuse);
        errors = std::move(checked.errors);
        if (checked.row && request.checkReferences)
            errors = checkPut(table.rows(), *checked.row);
        value.row = std::move(checked.json);
    }
    if (!errors.empty())
        return combineErrors(errors);
    return value;
}

// One edit in progress, from its write until the outcome of the write is known.
class Edit : public std::enable_shared_from_this<Edit>
{
public:
    Edit(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
         const EditOptions &options, EditRequest request, CurrentRow current,
         kernel::Callback<EditOutcome> callback)
        : m_store(store)
        , m_scheduler(scheduler)
        , m_options(options)
        , m_request(std::move(request))
        , m_current(std::move(current))
        , m_callback(std::move(callback))
    {}

    void write(RowValue value)
    {
        value.edit = m_request.edit;
        value.by = m_request.by;
        value.at = formatTime(m_scheduler.wallNow());
        if (m_current.objectExists) {
            value.previous = m_current.value.previous;
            value.previous.insert(value.previous.begin(), m_current.value.edit);
            if (value.previous.size() > maxPreviousEdits)
                value.previous.resize(maxPreviousEdits);
        }
        m_row = value.row;
        const auto written
            = [self = shared_from_this()](const auto &result) { self->onWritten(result); };
        const std::string key = objectKey(m_request.key);
        if (m_current.objectExists)
            m_store.update(key, formatRowValue(value), m_current.revision, written);
        else
            m_store.create(key, formatRowValue(value), written);
    }

private:
    void onWritten(const kernel::Completion<Revision> &result)
    {
        if (result.ok()) {
            reportAccepted(result.value(), false);
            return;
        }
        switch (result.error().code) {
        case ResultCode::WriteOutcomeUnknown:
        case ResultCode::RevisionConflict:
        case ResultCode::ObjectExists:
        case ResultCode::ObjectNotFound:
            // A conflict is followed by a read too, which tells whose edit came first.
            m_mayTakeEffect = result.error().code == ResultCode::WriteOutcomeUnknown;
            read();
            return;
        default:
            m_callback(result.error());
        }
    }

    void read()
    {
        m_store.read(objectKey(m_request.key),
                     [self = shared_from_this()](const auto &result) { self->onRead(result); });
    }

    void onRead(const kernel::Completion<externals::StoredObject> &result)
    {
        if (!m_mayTakeEffect && !result.ok() && result.error().code == ResultCode::ObjectNotFound) {
            reportNotAccepted();
            return;
        }
        if (!result.ok() || result.value().revision <= m_current.revision) {
            // The edit isn't visible yet, which proves nothing: the write may still be in flight.
            retryRead();
            return;
        }
        const externals::StoredObject &object = result.value();
        const auto parsed = parseRowValue(object.value);
        const RowValue value = parsed.ok() ? parsed.value() : RowValue{};
        if (containsEdit(value, m_request.edit)) {
            reportAccepted(object.revision, true);
            return;
        }
        // The row changed without this edit, so the condition of the write can't hold any more.
        kernel::logEvent(kernel::EventId::EditConflict, { { "row", toString(m_request.key) },
                                                          { "edit", m_request.edit },
                                                          { "by", m_request.by },
                                                          { "revision", object.revision },
                                                          { "other_edit", value.edit },
                                                          { "other_by", value.by } });
        m_callback(conflictError(m_request.key, value, object.revision));
    }

    void retryRead()
    {
        if (m_readRetries++ >= m_options.maxOutcomeReadRetries) {
            reportNotAccepted();
            return;
        }
        const kernel::Duration delay
            = m_options.firstOutcomeReadBackoff * (std::int64_t{ 1 } << (m_readRetries - 1));
        m_scheduler.startTimer(delay, [self = shared_from_this()] { self->read(); });
    }

    void reportNotAccepted()
    {
        if (!m_mayTakeEffect) {
            m_callback(Error{ ResultCode::EditConflict,
                              "row \"" + toString(m_request.key)
                                  + "\" was changed by another edit; nothing was written" });
            return;
        }
        m_callback(Error{ ResultCode::WriteOutcomeUnknown,
                          "no reply was received for edit " + m_request.edit.str() + " of row \""
                              + toString(m_request.key)
                              + "\" and the store does not show it; it may still take effect" });
    }

    void reportAccepted(Revision revision, bool byReading)
    {
        kernel::logEvent(kernel::EventId::EditAccepted, { { "row", toString(m_request.key) },
                                                          { "edit", m_request.edit },
                                                          { "by", m_request.by },
                                                          { "revision", revision },
                                                          { "settled_by_reading", byReading } });
        m_callback(EditOutcome{ revision, m_row, byReading });
    }

    const externals::ObjectStore &m_store;
    const kernel::Scheduler &m_scheduler;
    EditOptions m_options;
    EditRequest m_request;
    CurrentRow m_current;
    kernel::Callback<EditOutcome> m_callback;
    std::string m_row;
    int m_readRetries = 0;
    bool m_mayTakeEffect = false;
};

StoredTable toTable(const externals::ObjectList &list)
{
    StoredTable table;
    table.revision = list.revision;
    for (const externals::StoredObject &object : list.objects) {
        const auto key = parseRowKey(std::string_view(object.key).substr(objectPrefix.size()));
        if (!key)
            continue;
        StoredTable::Entry &entry = table.entries[*key];
        entry.revision = object.revision;
        auto value = parseRowValue(object.value);
        if (!value.ok()) {
            entry.errors.push_back({ value.error().code, std::string(describe(key->table).name),
                                     key->row, "", value.error().message });
            continue;
        }
        entry.value = std::move(value.value());
        if (entry.value.deleted)
            continue;
        CheckedRow checked = parseRow(*key, entry.value.row, UnknownColumns::Ignore);
        entry.row = std::move(checked.row);
        entry.errors = std::move(checked.errors);
    }
    return table;
}

} // namespace

RowMap StoredTable::rows() const
{
    RowMap rows;
    for (const auto &[key, entry] : entries) {
        if (entry.row)
            rows.emplace(key, *entry.row);
    }
    return rows;
}

void readTable(const externals::ObjectStore &store, const kernel::Callback<StoredTable> &callback)
{
    store.list(std::string(objectPrefix),
               [callback](const kernel::Completion<externals::ObjectList> &list) {
                   if (list.ok())
                       callback(toTable(list.value()));
                   else
                       callback(list.error());
               });
}

void applyEdit(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
               const EditOptions &options, EditRequest request,
               kernel::Callback<EditOutcome> callback)
{
    readTable(store, [&store, &scheduler, options, request = std::move(request),
                      callback = std::move(callback)](const auto &table) {
        if (table.ok())
            applyEdit(store, scheduler, options, table.value(), request, callback);
        else
            callback(table.error());
    });
}

void applyEdit(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
               const EditOptions &options, const StoredTable &table, EditRequest request,
               kernel::Callback<EditOutcome> callback)
{
    CurrentRow current = currentRow(table, request.key);
    if (const auto error = checkExpected(request, current)) {
        callback(*error);
        return;
    }
    const auto value = makeValue(table, request, current);
    if (!value.ok()) {
        callback(value.error());
        return;
    }
    std::make_shared<Edit>(store, scheduler, options, std::move(request), std::move(current),
                           std::move(callback))
        ->write(value.value());
}

} // namespace acaciasail::table
