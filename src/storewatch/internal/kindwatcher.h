#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "storewatch/internal/kindmirror.h"
#include "storewatch/internal/restorationhold.h"
#include "storewatch/internal/storereader.h"
#include "storewatch/internal/watchcoordinator.h"

namespace acaciasail::storewatch {

/// Callbacks for the objects of one kind.
struct KindHandlers
{
    /// Called with all objects of the kind that are in force, after each complete list and when
    /// those end that a restored store lacks.
    std::function<void(const std::vector<StoredObject> &)> onList;
    /// Called with each object that was changed or removed.
    std::function<void(const StoredObject &)> onChange;
    /// Called with whether the store is reachable, after the first list and at each change.
    std::function<void(bool)> onReachabilityChange;
    /// Called after each response, once the other callbacks have been called; may be empty.
    std::function<void()> onProgress = {};
    /// Called with the first list after the store was restored from an older copy, as the store
    /// holds it, before onList; may be empty.
    std::function<void(const std::vector<StoredObject> &)> onRestored = {};
    /// Tells which of two states of an object is the older one; may be empty.
    WriteOrder writeOrder = {};
};

/// Why the objects of a kind are listed, for the log.
enum class ListReason {
    Start,
    /// The kind's own call failed, or was not answered in time.
    Failure,
    /// The store has a change that no watcher has seen.
    ChangeMissed,
    /// The store was restored from an older copy.
    StoreRestored,
    /// The list before could not be read to its end.
    Incomplete,
};

std::string_view toString(ListReason reason);

/// Tracks the objects of one kind in the store: lists them, then watches for changes from the
/// list's position. Silence does not count as news: a call that is not answered in time is given
/// up, and the objects are listed again, also when the store's position shows a change that no
/// watch has returned, or a new epoch. Failures are retried without a limit. A list that makes no
/// progress is not taken for the whole: what is known of objects that it lacks stays in force, and
/// it is read again after some time.
class KindWatcher
{
public:
    KindWatcher(const StoreReader &reader, WatchCoordinator &coordinator,
                const kernel::Scheduler &scheduler, kernel::Random random, std::string kind,
                WatchOptions options, KindHandlers handlers);
    ~KindWatcher();
    KindWatcher(const KindWatcher &) = delete;
    KindWatcher &operator=(const KindWatcher &) = delete;

    void start() { listAgain(ListReason::Start); }

    /// Lists the objects if the watcher has waited for the store to respond to another one.
    void resumeAfterProbe();
    /// Sends the next watch at once if the watcher pauses between two watches and may lack a change
    /// up to this position. Returns whether it did.
    bool endPauseIfBehind(NamedPosition named);
    /// Lists the objects again if the watcher may have missed a change up to this position.
    void requirePosition(NamedPosition named);
    /// Lists the objects again at once if what the watcher knows is of an earlier epoch.
    void requireEpoch(kernel::Epoch epoch);

    /// Takes over the position and the age of a relay's knowledge of this kind, unless the watcher
    /// lacks a change that the relay has. Returns false if it lacks one.
    bool confirm(const RelayedKnowledge &knowledge);
    /// Lists the objects again if the watcher still lacks a change that the relay has.
    void requireRelayed(const RelayedKnowledge &knowledge);

    /// Returns whether the last calls were answered.
    bool isReachable() const { return m_reachable; }
    const std::string &kind() const { return m_kind; }
    /// Returns what other routers are told about the knowledge of this kind; nothing before the
    /// first list, and while a change may be missing.
    std::optional<RelayedKnowledge> knowledge() const;
    /// Returns the kind's objects and its recent removals.
    const KindMirror &mirror() const { return m_mirror; }
    /// Returns the number of objects that are in force in another state than the store's, because
    /// the store was restored from an older copy.
    std::size_t heldObjects() const { return m_hold.size(); }

    /// Returns the position up to which all changes of this kind are known.
    kernel::StorePosition position() const { return m_position; }
    /// Returns the time at which the store last showed that all changes of this kind are known; the
    /// epoch before the first list.
    kernel::Instant currentAt() const { return m_currentAt; }

private:
    using AttemptNumber = std::uint64_t;
    // One try to list the objects. A later attempt starts while an earlier one has no response yet,
    // and the first one to complete counts.
    struct ListAttempt
    {
        StoreCall call;
        kernel::Instant startedAt{};
        std::map<std::string, StoredObject> objects;
        ListCursor after;
        // Where the pages read so far have ended.
        std::set<std::string> cursors;
        // Whether the store has more objects but no page with them.
        bool incomplete = false;
        kernel::StorePosition position;
        // Set if a relay answered.
        std::map<std::string, RelayedKnowledge> relayed;
    };

    void listAgain(ListReason reason);
    void startListAttempt();
    void requestPage(AttemptNumber number, Connection connection);
    void onPage(AttemptNumber number, const kernel::Completion<ObjectPage> &outcome);
    static bool advance(ListAttempt &attempt, const ObjectPage &page);
    void completeList(AttemptNumber number, kernel::StorePosition storePosition);
    void addKnownObjects(ListAttempt &attempt) const;
    void scheduleListForTheRest();
    void endCalls();
    WatchOptions options() const;
    bool liesBehind(const std::map<std::string, RelayedKnowledge> &relayed) const;
    void takeRelayed(const std::map<std::string, RelayedKnowledge> &relayed,
                     kernel::StorePosition position);
    void reportProgress() const;
    bool isRepeated(const StoredObject &object, const ObjectPage &page) const;
    kernel::StorePosition newestState(const ObjectPage &page) const;

    void scheduleWatch();
    void sendWatch();
    void onEvents(const kernel::Completion<ObjectPage> &outcome);
    bool acceptReportedPosition();

    void expectResponse(kernel::Duration limit);
    void onUnanswered();
    void onFailure(const kernel::Error &error);
    void onSuccess();
    void applyList(const std::vector<StoredObject> &objects, kernel::StorePosition position,
                   kernel::StorePosition knownBefore);
    void scheduleHoldEnd();
    void onHoldEnd();
    void logIncomplete(const ListAttempt &attempt) const;
    void logHeld() const;
    void logUnreadable(std::size_t objects) const;
    void logFailure(const kernel::Error &error) const;
    void logListed(std::size_t objects, kernel::StorePosition knownBefore) const;

    const StoreReader &m_reader;
    WatchCoordinator &m_coordinator;
    const kernel::Scheduler &m_scheduler;
    kernel::Random m_random;
    std::string m_kind;
    WatchOptions m_options;
    KindHandlers m_handlers;

    ListReason m_listReason = ListReason::Start;
    std::map<AttemptNumber, ListAttempt> m_listAttempts;
    AttemptNumber m_newestAttempt = 0;
    StoreCall m_watch;

    // What the store holds, as far as it is known.
    KindMirror m_mirror;
    RestorationHold m_hold;
    kernel::Timer m_holdTimer;
    kernel::StorePosition m_position;
    // Newest position whose changes the handlers may have got. A relay's response of an earlier
    // state is not applied, as it could undo a change.
    kernel::StorePosition m_includes;
    // As the last response of this kind named it; it may include changes that nobody has seen yet.
    NamedPosition m_reported;
    kernel::Instant m_currentAt{};

    int m_consecutiveFailures = 0;
    // Whether the newest list attempt, or the watch, counts as failed.
    bool m_failureCounted = false;
    bool m_waitingForProber = false;
    // Whether the next watch is due after a pause.
    bool m_pausing = false;
    bool m_reachable = false;
    bool m_listedOnce = false;
    // Whether the last list could not be read to its end.
    bool m_incomplete = false;
    kernel::Timer m_restTimer;
    kernel::Instant m_shortWatchesUntil{};
    kernel::Instant m_callStartedAt{};
    kernel::Instant m_lastWatchAt{};
    kernel::Instant m_missedChangeListAt{};
    kernel::Timer m_nextCallTimer;
    kernel::Timer m_responseTimer;
};

} // namespace acaciasail::storewatch
