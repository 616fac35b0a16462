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
    /// Time before the first new attempt after a failure; it doubles up to the maximum, and half
    /// of it is random.
    kernel::Duration firstBackoff = std::chrono::milliseconds(100);
    kernel::Duration maxBackoff = std::chrono::seconds(5);
    /// Seed of the random part.
    std::uint64_t seed = 0;
};

/// Keeps a table in step with the platform's store: reads a list, then watches from its newest row.
///
/// After a break it watches on from the last change seen; if the store no longer has that history
/// it reads a list again. What it reads can only add to the table: an old list reverts nothing. A
/// row that is missing from a list newer than it counts as deleted once a read of it confirms so.
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
    /// The store answered the last call, and the watch stands.
    bool storeUp() const { return m_storeUp; }
    /// Called after each change of storeUp().
    kernel::Channel<bool> &storeChanges() { return m_storeChanges; }

private:
    void readList();
    void onList(const kernel::Completion<externals::ObjectList> &list);
    void confirmMissing(const externals::ObjectList &list);
    void confirmNext();
    void onConfirmed(const std::string &key,
                     const kernel::Completion<externals::StoredObject> &read);
    void probe();
    void watch();
    void keepFresh();
    void onChange(const externals::StoredObject &object);
    void onWatchEnd(const kernel::Error &error);
    void retryLater(std::function<void()> attempt);
    void onStoreError(const kernel::Error &error, std::function<void()> attempt);
    void setStoreUp(bool up, const std::string &reason);

    externals::ObjectStore m_store;
    const kernel::Scheduler *m_scheduler;
    TableStore *m_table;
    WatcherOptions m_options;
    kernel::Random m_random;
    bool m_running = false;
    bool m_storeUp = false;
    /// No result of the store was seen yet.
    bool m_storeUnknown = true;
    kernel::Channel<bool> m_storeChanges;
    kernel::Revision m_position;
    kernel::Revision m_listRevision;
    /// Keys that are missing from the last list and not confirmed yet.
    std::deque<std::string> m_missing;
    int m_failures = 0;
    externals::WatchHandle m_watch;
    kernel::Timer m_retry;
    kernel::Timer m_freshness;
    /// Goes with stop(), and so ends the callbacks that still wait.
    std::shared_ptr<bool> m_session;
};

} // namespace acaciasail::table
