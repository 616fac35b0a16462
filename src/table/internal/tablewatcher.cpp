#include "table/internal/tablewatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciasail::table {

namespace {

using kernel::EventId;
using kernel::ResultCode;

constexpr std::string_view sourceList = "store list";
constexpr std::string_view sourceWatch = "store watch";
constexpr std::string_view sourceRead = "store read";

// A key that never exists; a read of it tells whether the store answers.
constexpr std::string_view probeKey = "table/_probe";

constexpr kernel::Duration freshnessInterval = std::chrono::milliseconds(500);
constexpr int maxDoublings = 16;

// Wraps a callback so that it does nothing after its session has been stopped.
template<class Function>
auto guardBySession(const std::shared_ptr<bool> &session, Function function)
{
    return [weak = std::weak_ptr<bool>(session),
            function = std::move(function)](const auto &...arguments) {
        if (!weak.expired())
            function(arguments...);
    };
}

StoredRow toStoredRow(const externals::StoredObject &object)
{
    return { object.key.substr(std::min(objectPrefix.size(), object.key.size())), object.value,
             object.revision, object.deleted };
}

bool storeAnswered(ResultCode code)
{
    return code != ResultCode::PlatformUnreachable && code != ResultCode::PlatformProtocol;
}

} // namespace

TableWatcher::TableWatcher(externals::ObjectStore store, const kernel::Scheduler &scheduler,
                           TableStore &table, const WatcherOptions &options)
    : m_store(std::move(store))
    , m_scheduler(&scheduler)
    , m_table(&table)
    , m_options(options)
    , m_random(options.seed)
{}

TableWatcher::~TableWatcher()
{
    stop();
}

void TableWatcher::start()
{
    if (std::exchange(m_running, true))
        return;
    m_session = std::make_shared<bool>(true);
    m_consecutiveFailures = 0;
    m_storeUnknown = true;
    readList();
}

void TableWatcher::stop()
{
    m_running = false;
    m_storeUp = false;
    m_session = nullptr;
    m_watch = nullptr;
    m_retryTimer.cancel();
    m_freshnessTimer.cancel();
    m_unverifiedMissingKeys.clear();
}

void TableWatcher::readList()
{
    m_store.list(std::string(objectPrefix),
                 guardBySession(m_session, [this](const auto &list) { onList(list); }));
}

void TableWatcher::onList(const kernel::Completion<externals::ObjectList> &list)
{
    if (!list.ok()) {
        onStoreError(list.error(), [this] { readList(); });
        return;
    }
    setStoreUp(true, "");
    std::vector<StoredRow> rows;
    // A list may lack changes up to its revision, so the watch starts at the newest row in it.
    m_watchRevision = {};
    for (const externals::StoredObject &object : list.value().objects) {
        rows.push_back(toStoredRow(object));
        m_watchRevision = std::max(m_watchRevision, object.revision);
    }
    m_table->applyAll(rows, sourceList);
    m_listRevision = list.value().revision;
    m_table->markLoaded(sourceList);
    verifyMissingRows(list.value());
    watch();
}

// Reads each row that is missing from the list, because a list may lack changes up to its
// revision.
void TableWatcher::verifyMissingRows(const externals::ObjectList &list)
{
    std::set<std::string> listed;
    for (const externals::StoredObject &object : list.objects)
        listed.insert(object.key);
    m_unverifiedMissingKeys.clear();
    for (const RowRevisions &row : m_table->liveRows()) {
        const std::string key = std::string(objectPrefix) + row.key;
        if (row.newest < list.revision && !listed.contains(key))
            m_unverifiedMissingKeys.push_back(key);
    }
    verifyNextMissingRow();
}

void TableWatcher::verifyNextMissingRow()
{
    if (m_unverifiedMissingKeys.empty())
        return;
    const std::string key = m_unverifiedMissingKeys.front();
    m_unverifiedMissingKeys.pop_front();
    m_store.read(key, guardBySession(m_session, [this, key, at = m_listRevision](const auto &read) {
                     if (at == m_listRevision)
                         onMissingRowRead(key, read);
                 }));
}

void TableWatcher::onMissingRowRead(const std::string &key,
                                    const kernel::Completion<externals::StoredObject> &read)
{
    if (read.ok())
        m_table->apply(toStoredRow(read.value()), sourceRead);
    else if (read.error().code == ResultCode::ObjectNotFound)
        m_table->apply(toStoredRow({ key, "", m_listRevision, true }), sourceList);
    verifyNextMissingRow();
}

void TableWatcher::watch()
{
    externals::WatchHandlers handlers;
    handlers.onChange = guardBySession(m_session, [this](const auto &object) { onChange(object); });
    handlers.onEnd = guardBySession(m_session, [this](const auto &error) { onWatchEnd(error); });
    m_watch = m_store.watch(std::string(objectPrefix), m_watchRevision, std::move(handlers));
    markFreshPeriodically();
}

// Records periodically, while the watch is open, that the table is current.
void TableWatcher::markFreshPeriodically()
{
    m_table->markFresh();
    m_freshnessTimer = kernel::Timer(*m_scheduler, freshnessInterval, [this] {
        m_consecutiveFailures = 0;
        markFreshPeriodically();
    });
}

void TableWatcher::onChange(const externals::StoredObject &object)
{
    m_consecutiveFailures = 0;
    m_watchRevision = std::max(m_watchRevision, object.revision);
    m_table->apply(toStoredRow(object), sourceWatch);
}

void TableWatcher::onWatchEnd(const kernel::Error &error)
{
    m_watch = nullptr;
    m_freshnessTimer.cancel();
    kernel::logEvent(EventId::WatchBroken, { { "position", m_watchRevision },
                                             { "code", kernel::toNumber(error.code) },
                                             { "reason", error.message } });
    if (error.code != ResultCode::WatchCompacted) {
        scheduleRetry([this] { probeStore(); });
    } else if (m_watchRevision < m_listRevision) {
        // The store no longer has the history before the list, so the watch has to start at the
        // revision of the list.
        m_watchRevision = m_listRevision;
        scheduleRetry([this] { watch(); });
    } else {
        scheduleRetry([this] { readList(); });
    }
}

// Checks that the store answers before a watch is started again.
void TableWatcher::probeStore()
{
    m_store.read(std::string(probeKey), guardBySession(m_session, [this](const auto &read) {
                     if (!read.ok() && read.error().code != ResultCode::ObjectNotFound) {
                         onStoreError(read.error(), [this] { probeStore(); });
                         return;
                     }
                     setStoreUp(true, "");
                     watch();
                 }));
}

void TableWatcher::onStoreError(const kernel::Error &error, std::function<void()> attempt)
{
    if (!storeAnswered(error.code))
        setStoreUp(false, error.message);
    scheduleRetry(std::move(attempt));
}

void TableWatcher::scheduleRetry(std::function<void()> attempt)
{
    const int doublings = std::min(m_consecutiveFailures++, maxDoublings);
    const kernel::Duration backoff
        = std::min(m_options.maxBackoff, m_options.firstBackoff * (std::int64_t{ 1 } << doublings));
    const auto half = backoff.count() / 2;
    const auto random = static_cast<std::int64_t>(
        kernel::uniformBelow(m_random, static_cast<std::uint64_t>(half) + 1));
    m_retryTimer = kernel::Timer(*m_scheduler, kernel::Duration(half + random), std::move(attempt));
}

void TableWatcher::setStoreUp(bool up, const std::string &reason)
{
    const bool first = std::exchange(m_storeUnknown, false);
    if (up == m_storeUp && !(first && !up))
        return;
    m_storeUp = up;
    if (up)
        kernel::logEvent(EventId::StoreUp, {});
    else
        kernel::logEvent(EventId::StoreDown, { { "reason", reason } });
    m_storeUpChanged.send(up);
}

} // namespace acaciasail::table
