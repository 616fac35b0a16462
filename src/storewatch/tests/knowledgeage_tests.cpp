// Bounds the time until watchers know a change, whatever was lost before.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "storewatch/storewatch.h"

using namespace acaciasail;
using namespace acaciasail::storewatch;
using namespace std::chrono_literals;

namespace {

// A position in the history of this epoch.
kernel::StorePosition position(std::int64_t revision, std::int64_t epoch = 1)
{
    return { kernel::Epoch(epoch), kernel::Revision(revision) };
}

// Age that the settings of the routers allow, and the time within which a change must be known
// while nothing is lost.
constexpr kernel::Duration maxAge = 3s;
constexpr kernel::Duration maxDelay = 2s;

// A store on a manual clock, behind a path that loses what is in flight when it is cut.
class LossyStore
{
public:
    LossyStore(const kernel::Scheduler &scheduler, std::uint64_t seed)
        : m_scheduler(scheduler)
        , m_random(seed)
    {}

    void change(const std::string &kind)
    {
        m_objects[kind] = ++m_revision;
        m_history.push_back({ kind, m_revision });
        for (const auto &call : m_calls)
            answerWatch(call);
    }
    // Changes that open watches don't return are known only by lists once the history is gone.
    void dropHistorySilently() { m_history.clear(); }
    // All calls in flight are lost, and none arrives until the path is restored. Connections that
    // were kept open are dead afterwards.
    void cut()
    {
        m_isCut = true;
        loseOpenCalls();
    }
    void restore() { m_isCut = false; }
    void loseOpenCalls()
    {
        m_keptConnectionsDead = true;
        for (const auto &call : m_calls)
            call->lost = true;
    }
    std::int64_t revisionOf(const std::string &kind) { return m_objects[kind]; }

    StoreReader reader()
    {
        return { .list =
                     [this](const std::string &kind, const ListCursor &, Connection connection,
                            kernel::Callback<ObjectPage> callback) {
                         return start(std::make_shared<Call>(
                                          Call{ .kind = kind, .callback = std::move(callback) }),
                                      connection, kernel::Duration::zero());
                     },
                 .watch =
                     [this](const std::string &kind, kernel::StorePosition after,
                            kernel::Duration wait, kernel::Callback<ObjectPage> callback) {
                         return start(
                             std::make_shared<Call>(Call{ .kind = kind,
                                                          .callback = std::move(callback),
                                                          .watchAfter = after.revision.count() }),
                             Connection::MayBeKept, wait);
                     } };
    }

private:
    static constexpr kernel::Duration responseTime = 4ms;
    static constexpr kernel::Duration connectTimeout = 600ms;
    static constexpr kernel::Duration callTimeout = 3s;

    struct Call
    {
        std::string kind;
        kernel::Callback<ObjectPage> callback;
        std::optional<std::int64_t> watchAfter;
        bool lost = false;
        kernel::Timer timeout;
        kernel::Timer answer;
    };
    struct Event
    {
        std::string kind;
        std::int64_t revision;
    };

    StoreCall start(const std::shared_ptr<Call> &call, Connection connection, kernel::Duration wait)
    {
        const bool kept = connection == Connection::MayBeKept;
        call->lost
            = m_isCut || (kept && m_keptConnectionsDead && kernel::uniformBelow(m_random, 2) == 0);
        call->timeout = kernel::Timer(
            m_scheduler, m_isCut && !kept ? connectTimeout : wait + callTimeout, [this, call] {
                finish(call);
                call->callback(kernel::Error{ kernel::ResultCode::PlatformUnreachable, "test" });
            });
        if (!call->lost)
            call->answer
                = kernel::Timer(m_scheduler, wait + responseTime, [this, call] { respond(call); });
        m_calls.push_back(call);
        answerWatch(call);
        return StoreCall([this, call] { finish(call); });
    }
    void finish(const std::shared_ptr<Call> &call)
    {
        call->lost = true;
        call->timeout.cancel();
        call->answer.cancel();
        std::erase(m_calls, call);
    }
    StoredObject object(const std::string &kind, std::int64_t revision) const
    {
        return { .name = kind, .position = position(revision) };
    }
    ObjectPage list(const std::string &kind) const
    {
        ObjectPage page{ .position = position(m_revision) };
        if (m_objects.contains(kind))
            page.objects.push_back(object(kind, m_objects.at(kind)));
        return page;
    }
    ObjectPage events(const std::string &kind, std::int64_t after) const
    {
        ObjectPage page{ .position = position(m_revision) };
        for (const Event &event : m_history) {
            if (event.kind == kind && event.revision > after)
                page.objects.push_back(object(kind, event.revision));
        }
        return page;
    }
    // Answers a watch if there is a change for it.
    void answerWatch(const std::shared_ptr<Call> &call)
    {
        if (!call->lost && call->watchAfter
            && !events(call->kind, *call->watchAfter).objects.empty())
            call->answer
                = kernel::Timer(m_scheduler, responseTime, [this, call] { respond(call); });
    }
    void respond(const std::shared_ptr<Call> &call)
    {
        if (call->lost)
            return;
        m_keptConnectionsDead = false;
        const ObjectPage page
            = call->watchAfter ? events(call->kind, *call->watchAfter) : list(call->kind);
        finish(call);
        call->callback(page);
    }

    const kernel::Scheduler &m_scheduler;
    kernel::Random m_random;
    std::int64_t m_revision = 1;
    std::map<std::string, std::int64_t> m_objects;
    std::vector<Event> m_history;
    std::vector<std::shared_ptr<Call>> m_calls;
    bool m_isCut = false;
    bool m_keptConnectionsDead = false;
};

struct WatchedKind
{
    std::string name;
    WatchOptions options;
};

const std::vector<WatchedKind> watchedKinds{
    { "servers", { .minInterval = 1s, .wait = maxAge / 3 } },
    { "config", { .minInterval = 250ms } },
    { "rollouts", { .minInterval = 100ms } },
    { "crashreports", { .minInterval = 1s } },
    { "limitreports", { .minInterval = 2s } },
};

// Watchers of all kinds, random faults of the store and of the path to it, and random changes.
class Play
{
public:
    explicit Play(std::uint64_t seed)
        : m_random(seed)
        , m_store(m_clock.scheduler(), seed)
        , m_reader(m_store.reader())
        , m_coordinator(m_clock.scheduler())
    {
        m_clock.advance(10s);
        for (const WatchedKind &kind : watchedKinds)
            addWatcher(kind);
    }

    // Moves the clock on; returns a description of the first kind that is known too late, if any.
    std::string run(kernel::Duration time)
    {
        constexpr kernel::Duration step = 10ms;
        const kernel::Instant end = m_clock.now() + time;
        while (m_clock.now() < end) {
            injectFaults();
            if (kernel::uniformBelow(m_random, 40) == 0)
                change(watchedKinds[kernel::uniformBelow(m_random, watchedKinds.size())].name);
            m_clock.advance(step);
            for (const WatchedKind &kind : watchedKinds) {
                if (isLate(kind))
                    return kind.name + " at "
                           + std::to_string(kernel::toMilliseconds(m_clock.now() - start)) + " ms";
            }
        }
        return "";
    }

private:
    static constexpr kernel::Instant start{};

    void addWatcher(const WatchedKind &kind)
    {
        const auto know = [this, name = kind.name](const StoredObject &object) {
            m_known[name] = std::max(m_known[name], object.position.revision.count());
        };
        KindHandlers handlers;
        handlers.onList = [know](const std::vector<StoredObject> &objects) {
            std::ranges::for_each(objects, know);
        };
        handlers.onChange = know;
        handlers.onReachabilityChange = [](bool) {};
        m_watchers.push_back(std::make_unique<KindWatcher>(
            m_reader, m_coordinator, m_clock.scheduler(), kernel::Random(m_random()), kind.name,
            kind.options, std::move(handlers)));
        m_watchers.back()->start();
    }

    void change(const std::string &kind)
    {
        m_store.change(kind);
        m_unknownSince.try_emplace(kind, m_clock.now());
    }

    void injectFaults()
    {
        if (m_cutUntil && m_clock.now() >= *m_cutUntil) {
            m_cutUntil.reset();
            m_store.restore();
            m_faultEndedAt = m_clock.now();
            change("servers");
        }
        if (m_cutUntil || m_clock.now() < m_faultEndedAt + 6s
            || kernel::uniformBelow(m_random, 100) != 0)
            return;
        m_faultEndedAt = m_clock.now();
        switch (kernel::uniformBelow(m_random, 3)) {
        case 0:
            m_store.cut();
            m_cutUntil = m_clock.now() + kernel::scaled(6s, kernel::uniform01(m_random));
            break;
        case 1:
            m_store.loseOpenCalls();
            break;
        default:
            change(watchedKinds[kernel::uniformBelow(m_random, watchedKinds.size())].name);
            m_store.dropHistorySilently();
        }
    }

    bool isLate(const WatchedKind &kind)
    {
        if (m_known[kind.name] >= m_store.revisionOf(kind.name)) {
            m_unknownSince.erase(kind.name);
            return false;
        }
        const kernel::Instant known
            = m_unknownSince.at(kind.name) + std::max(maxDelay, kind.options.minInterval + 100ms);
        return !m_cutUntil && m_clock.now() > std::max(known, m_faultEndedAt + maxAge);
    }

    kernel::ManualScheduler m_clock;
    kernel::Random m_random;
    LossyStore m_store;
    StoreReader m_reader;
    WatchCoordinator m_coordinator;
    std::vector<std::unique_ptr<KindWatcher>> m_watchers;
    std::map<std::string, std::int64_t> m_known;
    std::map<std::string, kernel::Instant> m_unknownSince;
    std::optional<kernel::Instant> m_cutUntil;
    kernel::Instant m_faultEndedAt{};
};

} // namespace

TEST(KnowledgeAge, ChangesAreKnownInTimeAfterFaultsOfStoreAndPath)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Play play(seed);
        EXPECT_EQ(play.run(60s), "") << "seed " << seed;
    }
}
