#include "storewatch/internal/kindwatcher.h"

#include <algorithm>
#include <utility>

namespace acaciasail::storewatch {

namespace {

// A watch that starts just as the store drops its record of past changes may return no
// changes until its timeout, so watches are short for a while after a failure.
constexpr kernel::Duration shortWatchTimeout = std::chrono::milliseconds(500);
constexpr kernel::Duration shortWatchPeriod = std::chrono::milliseconds(2500);
// Time after which a list without a response is started anew on another connection. The earlier
// call goes on, in case the store is only slow.
constexpr kernel::Duration listResponseLimit = std::chrono::milliseconds(1200);
// Time from the end of a watch's wait to its response; about a hundred times the usual one.
constexpr kernel::Duration watchResponseLimit = std::chrono::milliseconds(400);
constexpr kernel::Duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr kernel::Duration maxRetryDelay = std::chrono::milliseconds(800);
constexpr int maxRetryDelayDoublings = 4;
// A single failure may be a watch whose connection broke; a second one in a row means that the
// store is unreachable.
constexpr int failuresUntilUnreachable = 2;
// Minimum time between two lists for a missed change, which bounds the calls to a store whose
// revisions have gaps.
constexpr kernel::Duration missedChangeListInterval = std::chrono::seconds(1);
// Well above the number of pages of any list.
constexpr std::size_t maxListPages = 1000;
constexpr kernel::Duration incompleteListInterval = std::chrono::seconds(10);
constexpr kernel::Duration holdCheckInterval = std::chrono::milliseconds(100);

kernel::Error supersededError()
{
    return { kernel::ResultCode::PlatformUnreachable, "from before the store was restored" };
}

} // namespace

std::string_view toString(ListReason reason)
{
    switch (reason) {
    case ListReason::Start:
        return "start";
    case ListReason::Failure:
        return "failure";
    case ListReason::ChangeMissed:
        return "change_missed";
    case ListReason::StoreRestored:
        return "store_restored";
    case ListReason::Incomplete:
        break;
    }
    return "incomplete";
}

KindWatcher::KindWatcher(const StoreReader &reader, WatchCoordinator &coordinator,
                         const kernel::Scheduler &scheduler, kernel::Random random,
                         std::string kind, WatchOptions options, KindHandlers handlers)
    : m_reader(reader)
    , m_coordinator(coordinator)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_kind(std::move(kind))
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_hold(m_options.missingTime, m_handlers.writeOrder)
{
    m_coordinator.add(*this);
}

KindWatcher::~KindWatcher()
{
    m_coordinator.remove(*this);
}

// Gives up all calls and lists the objects.
void KindWatcher::listAgain(ListReason reason)
{
    endCalls();
    m_listReason = reason;
    startListAttempt();
}

void KindWatcher::endCalls()
{
    m_waitingForProber = false;
    m_pausing = false;
    m_watch = {};
    m_listAttempts.clear();
    m_nextCallTimer.cancel();
    m_responseTimer.cancel();
}

void KindWatcher::startListAttempt()
{
    const AttemptNumber number = ++m_newestAttempt;
    m_callStartedAt = m_scheduler.now();
    m_failureCounted = false;
    m_listAttempts[number].startedAt = m_callStartedAt;
    // Kept connections may be as dead as the one that led to this list.
    requestPage(number,
                m_listReason == ListReason::Start ? Connection::MayBeKept : Connection::New);
}

void KindWatcher::requestPage(AttemptNumber number, Connection connection)
{
    ListAttempt &attempt = m_listAttempts.at(number);
    attempt.call = m_reader.list(
        m_kind, attempt.after, connection,
        [this, number](const kernel::Completion<ObjectPage> &outcome) { onPage(number, outcome); });
    expectResponse(listResponseLimit);
}

void KindWatcher::onPage(AttemptNumber number, const kernel::Completion<ObjectPage> &outcome)
{
    if (!outcome.ok()) {
        m_listAttempts.erase(number);
        if (number == m_newestAttempt && !m_failureCounted)
            onFailure(outcome.error());
        return;
    }
    const ObjectPage &page = outcome.value();
    if (!m_coordinator.recordEpoch(page.position.epoch)) {
        onPage(number, supersededError());
        return;
    }
    logUnreadable(page.unreadable);
    ListAttempt &attempt = m_listAttempts.at(number);
    // Pages of two epochs are no list of either.
    if (attempt.after && attempt.position.epoch != page.position.epoch) {
        listAgain(ListReason::StoreRestored);
        return;
    }
    // The watch starts at the first page's position, so that it returns the changes made while the
    // other pages were read.
    if (!attempt.after) {
        attempt.position = page.position;
        attempt.relayed = page.relayed;
    }
    for (const StoredObject &object : page.objects) {
        attempt.objects.insert_or_assign(object.name, object);
        if (page.relayed.empty())
            m_coordinator.recordChange(object.position);
    }
    if (!page.hasMore || !advance(attempt, page)) {
        attempt.incomplete = page.hasMore;
        completeList(number, page.position);
        return;
    }
    // The store responds, so the other attempts are not needed.
    std::erase_if(m_listAttempts, [number](const auto &other) { return other.first != number; });
    m_newestAttempt = number;
    m_failureCounted = false;
    m_nextCallTimer.cancel();
    requestPage(number, Connection::MayBeKept);
}

// Moves on to the next page. Returns false if the store has named none that was not read before.
bool KindWatcher::advance(ListAttempt &attempt, const ObjectPage &page)
{
    if (!page.last || attempt.cursors.size() >= maxListPages
        || !attempt.cursors.insert(*page.last).second)
        return false;
    attempt.after = page.last;
    return true;
}

// Adds what is known of objects that an incomplete list lacks.
void KindWatcher::addKnownObjects(ListAttempt &attempt) const
{
    for (StoredObject &object : m_mirror.objects())
        attempt.objects.try_emplace(object.name, std::move(object));
}

void KindWatcher::scheduleListForTheRest()
{
    m_restTimer = kernel::Timer(m_scheduler, incompleteListInterval, [this] {
        if (m_watch.isOpen() || m_pausing)
            listAgain(ListReason::Incomplete);
    });
}

void KindWatcher::completeList(AttemptNumber number, kernel::StorePosition storePosition)
{
    ListAttempt attempt = std::move(m_listAttempts.at(number));
    endCalls();
    if (liesBehind(attempt.relayed)) {
        onFailure({ kernel::ResultCode::PlatformUnreachable, "the relay lags behind" });
        return;
    }
    const bool fromRelay = !attempt.relayed.empty();
    const kernel::StorePosition knownBefore = m_position;
    if (fromRelay) {
        takeRelayed(attempt.relayed, attempt.position);
    } else {
        m_position = attempt.position;
        m_includes = std::max(m_includes, storePosition);
        m_reported = { m_position, attempt.startedAt };
        m_currentAt = attempt.startedAt;
    }
    logListed(attempt.objects.size(), knownBefore);
    onSuccess();
    m_restTimer.cancel();
    m_incomplete = attempt.incomplete;
    if (m_incomplete) {
        logIncomplete(attempt);
        addKnownObjects(attempt);
        scheduleListForTheRest();
    }
    std::vector<StoredObject> objects;
    for (auto &[name, object] : attempt.objects)
        objects.push_back(std::move(object));
    applyList(objects, fromRelay ? m_includes : attempt.position, knownBefore);
    if (fromRelay)
        m_coordinator.recordRelayed(attempt.relayed);
    else
        m_coordinator.recordNamedPosition(storePosition);
    reportProgress();
    scheduleWatch();
}

void KindWatcher::applyList(const std::vector<StoredObject> &objects,
                            kernel::StorePosition position, kernel::StorePosition knownBefore)
{
    if (m_mirror.isListed() && knownBefore.epoch < position.epoch) {
        m_hold.begin(m_mirror, objects, m_scheduler.now());
        logHeld();
        if (m_handlers.onRestored)
            m_handlers.onRestored(objects);
    } else {
        m_hold.review(objects);
    }
    m_mirror.applyList(objects, position, knownBefore);
    m_handlers.onList(m_hold.size() == 0 ? objects : m_hold.inForce(objects));
    scheduleHoldEnd();
}

void KindWatcher::scheduleHoldEnd()
{
    if (const auto end = m_hold.nextEnd())
        m_holdTimer
            = kernel::Timer(m_scheduler, std::max(*end - m_scheduler.now(), holdCheckInterval),
                            [this] { onHoldEnd(); });
}

// Only knowledge from after the end shows that nothing was written again until then.
void KindWatcher::onHoldEnd()
{
    if (m_hold.expire(m_currentAt)) {
        logHeld();
        m_handlers.onList(m_hold.inForce(m_mirror.objects()));
    }
    scheduleHoldEnd();
}

WatchOptions KindWatcher::options() const
{
    return m_reader.pace ? m_reader.pace(m_kind, m_options) : m_options;
}

// Returns whether a relay's response may lack a change that was passed to the handlers.
bool KindWatcher::liesBehind(const std::map<std::string, RelayedKnowledge> &relayed) const
{
    const auto found = relayed.find(m_kind);
    return found != relayed.end() && found->second.known < m_includes;
}

// Records that all changes are known up to the position that a relay names for the kind.
void KindWatcher::takeRelayed(const std::map<std::string, RelayedKnowledge> &relayed,
                              kernel::StorePosition position)
{
    const auto found = relayed.find(m_kind);
    if (found == relayed.end())
        return;
    m_position = std::max(m_position, position);
    m_includes = std::max(m_includes, found->second.known);
    m_currentAt = std::max(m_currentAt, m_scheduler.now() - found->second.age);
    m_reported = { m_position, m_currentAt };
}

std::optional<RelayedKnowledge> KindWatcher::knowledge() const
{
    if (!m_mirror.isListed() || m_incomplete || m_position < m_includes
        || m_position.epoch < m_coordinator.epoch())
        return std::nullopt;
    return RelayedKnowledge{ .known = m_position,
                             .changedAt = m_mirror.changedAt(),
                             .age = m_scheduler.now() - m_currentAt };
}

bool KindWatcher::confirm(const RelayedKnowledge &knowledge)
{
    if (!m_mirror.isListed())
        return true;
    if (knowledge.changedAt > m_position)
        return false;
    m_position = std::max(m_position, knowledge.known);
    m_currentAt = std::max(m_currentAt, m_scheduler.now() - knowledge.age);
    return true;
}

void KindWatcher::requireRelayed(const RelayedKnowledge &knowledge)
{
    const kernel::Instant now = m_scheduler.now();
    if (!m_watch.isOpen() || knowledge.changedAt <= m_position
        || now - m_missedChangeListAt < missedChangeListInterval)
        return;
    m_missedChangeListAt = now;
    listAgain(ListReason::ChangeMissed);
}

void KindWatcher::reportProgress() const
{
    if (m_handlers.onProgress)
        m_handlers.onProgress();
}

// Takes over the position that the last response named, unless it includes a change that no watcher
// has seen. Returns whether the position was taken over.
bool KindWatcher::acceptReportedPosition()
{
    if (!m_coordinator.sawAllChanges(m_position, m_reported.position))
        return false;
    m_position = std::max(m_position, m_reported.position);
    m_currentAt = std::max(m_currentAt, m_reported.namedAt);
    return true;
}

void KindWatcher::scheduleWatch()
{
    kernel::Instant due = m_lastWatchAt + options().minInterval;
    // Watching from the earlier position would return the same changes once more.
    if (!acceptReportedPosition())
        due = std::max(due, m_scheduler.now() + 2 * responseSpread);
    if (m_scheduler.now() >= due) {
        sendWatch();
        return;
    }
    m_pausing = true;
    m_nextCallTimer = kernel::Timer(m_scheduler, due - m_scheduler.now(), [this] { sendWatch(); });
}

void KindWatcher::sendWatch()
{
    m_pausing = false;
    m_nextCallTimer.cancel();
    acceptReportedPosition();
    m_lastWatchAt = m_scheduler.now();
    m_callStartedAt = m_lastWatchAt;
    m_failureCounted = false;
    const bool shortened = m_scheduler.now() < m_shortWatchesUntil;
    const kernel::Duration wait
        = shortened ? std::min(shortWatchTimeout, options().wait) : options().wait;
    m_watch = m_reader.watch(
        m_kind, m_position, wait,
        [this](const kernel::Completion<ObjectPage> &outcome) { onEvents(outcome); });
    expectResponse(wait + watchResponseLimit);
}

// Returns whether the change may have been passed on before and the page has a later one of the
// same object; passing it on again would restore an earlier state for a moment.
bool KindWatcher::isRepeated(const StoredObject &object, const ObjectPage &page) const
{
    const auto last = std::ranges::find(page.objects.rbegin(), page.objects.rend(), object.name,
                                        &StoredObject::name);
    return object.position <= m_includes && &*last != &object;
}

// Returns the newest position whose changes the page's objects may include.
kernel::StorePosition KindWatcher::newestState(const ObjectPage &page) const
{
    const auto found = page.relayed.find(m_kind);
    return found == page.relayed.end() ? page.position : found->second.known;
}

void KindWatcher::onEvents(const kernel::Completion<ObjectPage> &outcome)
{
    endCalls();
    if (!outcome.ok()) {
        onFailure(outcome.error());
        return;
    }
    const ObjectPage &page = outcome.value();
    if (!m_coordinator.recordEpoch(page.position.epoch)) {
        onFailure(supersededError());
        return;
    }
    // Changes of a later epoch say nothing about what the earlier one has lost.
    if (page.position.epoch != m_position.epoch) {
        onSuccess();
        listAgain(ListReason::StoreRestored);
        return;
    }
    const bool fromRelay = !page.relayed.empty();
    if (liesBehind(page.relayed) && !page.objects.empty()) {
        onFailure({ kernel::ResultCode::PlatformUnreachable, "the relay lags behind" });
        return;
    }
    logUnreadable(page.unreadable);
    for (const StoredObject &object : page.objects) {
        if (!fromRelay)
            m_coordinator.recordChange(object.position);
        if (isRepeated(object, page))
            continue;
        m_mirror.applyChange(object, newestState(page));
        m_hold.release(object);
        m_handlers.onChange(object);
    }
    if (fromRelay) {
        takeRelayed(page.relayed, page.position);
    } else {
        m_includes = std::max(m_includes, page.position);
        m_reported = { std::max(m_position, page.position), m_scheduler.now() };
    }
    onSuccess();
    if (fromRelay)
        m_coordinator.recordRelayed(page.relayed);
    else
        m_coordinator.recordNamedPosition(page.position);
    scheduleWatch();
    reportProgress();
}

bool KindWatcher::endPauseIfBehind(NamedPosition named)
{
    const bool askedSince = m_reported.namedAt >= named.namedAt;
    if (!m_pausing || askedSince || m_coordinator.sawAllChanges(m_position, named.position))
        return false;
    sendWatch();
    return true;
}

void KindWatcher::requirePosition(NamedPosition named)
{
    if (!m_watch.isOpen() && !m_pausing)
        return;
    if (m_reported.namedAt < named.namedAt)
        m_reported = { std::max(m_position, named.position), named.namedAt };
    const kernel::Instant now = m_scheduler.now();
    if (acceptReportedPosition() || now - m_missedChangeListAt < missedChangeListInterval)
        return;
    m_missedChangeListAt = now;
    listAgain(ListReason::ChangeMissed);
}

void KindWatcher::requireEpoch(kernel::Epoch epoch)
{
    if (m_position.epoch < epoch && (m_watch.isOpen() || m_pausing))
        listAgain(ListReason::StoreRestored);
}

void KindWatcher::resumeAfterProbe()
{
    if (m_waitingForProber)
        listAgain(m_listReason);
}

void KindWatcher::onSuccess()
{
    m_consecutiveFailures = 0;
    m_coordinator.onResponse();
    if (std::exchange(m_reachable, true) && m_listedOnce)
        return;
    m_listedOnce = true;
    m_handlers.onReachabilityChange(true);
}

void KindWatcher::expectResponse(kernel::Duration limit)
{
    m_responseTimer = kernel::Timer(m_scheduler, limit, [this] { onUnanswered(); });
}

// The connection may be dead while it looks idle, as after a partition in which the response was
// lost. A list without a response goes on beside the next one.
void KindWatcher::onUnanswered()
{
    m_watch = {};
    onFailure({ kernel::ResultCode::PlatformUnreachable, "no response in time" });
}

// The store may have dropped its history without an error. A watch from an old position then waits
// as if nothing had changed, so the objects are listed again after every failure.
void KindWatcher::onFailure(const kernel::Error &error)
{
    m_failureCounted = true;
    m_responseTimer.cancel();
    ++m_consecutiveFailures;
    m_shortWatchesUntil = m_scheduler.now() + shortWatchPeriod;
    logFailure(error);
    m_listReason = ListReason::Failure;
    const bool unreachable = error.code != kernel::ResultCode::WatchCompacted
                             && m_consecutiveFailures >= failuresUntilUnreachable;
    if (unreachable && std::exchange(m_reachable, false))
        m_handlers.onReachabilityChange(false);
    if (unreachable && !m_coordinator.tryBecomeProber(*this)) {
        m_waitingForProber = true;
        return;
    }
    const int doublings = std::min(m_consecutiveFailures - 1, maxRetryDelayDoublings);
    const kernel::Duration maxDelay = std::min(initialRetryDelay * (1 << doublings), maxRetryDelay);
    // Jitter keeps routers that lost their connections to the store at the same time from retrying
    // at the same time.
    const kernel::Duration delay = kernel::scaled(maxDelay, 0.5 + kernel::uniform01(m_random) / 2);
    m_nextCallTimer = kernel::Timer(m_scheduler, delay, [this] { startListAttempt(); });
}

// One line for all objects of a response that have no name or revision to use.
void KindWatcher::logUnreadable(std::size_t objects) const
{
    if (objects == 0)
        return;
    kernel::logEvent(
        kernel::EventId::ObjectIgnored,
        { { "kind", m_kind }, { "object", "" }, { "why", "unreadable" }, { "objects", objects } });
}

void KindWatcher::logFailure(const kernel::Error &error) const
{
    const kernel::Duration took = m_scheduler.now() - m_callStartedAt;
    kernel::logEvent(kernel::EventId::StoreCallFailed,
                     { { "kind", m_kind },
                       { "code", kernel::toNumber(error.code) },
                       { "detail", error.message },
                       { "failures", m_consecutiveFailures },
                       { "took_ms", kernel::toMilliseconds(took) } });
}

void KindWatcher::logIncomplete(const ListAttempt &attempt) const
{
    kernel::logEvent(kernel::EventId::ListIncomplete, { { "kind", m_kind },
                                                        { "pages", attempt.cursors.size() + 1 },
                                                        { "objects", attempt.objects.size() } });
}

void KindWatcher::logHeld() const
{
    kernel::logEvent(
        kernel::EventId::KnownStatesHeld,
        { { "kind", m_kind }, { "epoch", m_coordinator.epoch() }, { "objects", m_hold.size() } });
}

void KindWatcher::logListed(std::size_t objects, kernel::StorePosition knownBefore) const
{
    const kernel::Duration age
        = m_listedOnce ? m_scheduler.now() - m_currentAt : kernel::Duration::zero();
    kernel::logEvent(kernel::EventId::ObjectsListed, { { "kind", m_kind },
                                                       { "why", toString(m_listReason) },
                                                       { "objects", objects },
                                                       { "known", knownBefore.revision },
                                                       { "epoch", m_position.epoch },
                                                       { "revision", m_position.revision },
                                                       { "age_ms", kernel::toMilliseconds(age) } });
}

} // namespace acaciasail::storewatch
