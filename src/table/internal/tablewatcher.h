#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "externals/externals.h"
#include "kernel/kernel.h"
#include "table/internal/tablestore.h"

namespace acaciasail::table {

struct WatcherOptions
{
    /// Backoff before the first retry after a failure. The backoff doubles with each further
    /// failure up to the maximum, and half of it is random (jitter).
    kernel::Duration firstBackoff = std::chrono::milliseconds(100);
    kernel::Duration maxBackoff = std::chrono::seconds(5);
    /// Seed of the jitter.
    std::uint64_t seed = 0;
};

/// Keeps a table up to date with the platform's store: reads a list, then watches the changes after
/// the newest row of the list.
///
/// After the watch breaks, the watcher resumes from the last change received; if the store no
/// longer has that history, the watcher reads a list again. Rows that are read are only merged into
/// the table, so a stale list reverts nothing. If a row is missing from a list with a higher
/// revision, the row counts as deleted once a read of its object confirms that.
class TableWatcher
{
public:
    TableWatcher(externals::ObjectStore store, const kernel::Scheduler &scheduler,
                 TableStore &table, const WatcherOptions &options);
    TableWatcher(const TableWatcher &) = delete;
    TableWatcher &operator=(const TableWatcher &) = delete;
    ~TableWatcher();

    void start();
    void stop();
    bool running() const { return m_running; }
    /// Returns whether the store answered the last list or read. False before the first answer and
    /// after stop().
    bool storeUp() const { return m_storeUp; }
    /// Returns the channel that gets the new value after each change of storeUp().
    kernel::Channel<bool> &storeUpChanged() { return m_storeUpChanged; }

private:
    void readList();
    void onList(const kernel::Completion<externals::ObjectList> &list);
    void verifyMissingRows(const externals::ObjectList &list);
    void verifyNextMissingRow();
    void onMissingRowRead(const std::string &key,
                          const kernel::Completion<externals::StoredObject> &read);
    void probeStore();
    void watch();
    void markFreshPeriodically();
    void onChange(const externals::StoredObject &object);
    void onWatchEnd(const kernel::Error &error);
    void scheduleRetry(std::function<void()> attempt);
    void onStoreError(const kernel::Error &error, std::function<void()> attempt);
    void setStoreUp(bool up, const std::string &reason);

    externals::ObjectStore m_store;
    const kernel::Scheduler *m_scheduler;
    TableStore *m_table;
    WatcherOptions m_options;
    kernel::Random m_random;
    bool m_running = false;
    bool m_storeUp = false;
    /// No call to the store has finished since start().
    bool m_storeUnknown = true;
    kernel::Channel<bool> m_storeUpChanged;
    kernel::Revision m_watchRevision;
    kernel::Revision m_listRevision;
    /// Keys that are missing from the last list and whose deletion isn't confirmed yet.
    std::deque<std::string> m_unverifiedMissingKeys;
    int m_consecutiveFailures = 0;
    externals::WatchHandle m_watch;
    kernel::Timer m_retryTimer;
    kernel::Timer m_freshnessTimer;
    /// Lifetime token that stop() releases, so that pending callbacks do nothing any more.
    std::shared_ptr<bool> m_session;
};

} // namespace acaciasail::table
