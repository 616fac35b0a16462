#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "listener.h"
#include "record.h"
#include "replies.h"
#include "standinsettings.h"
#include "tokens.h"

namespace acaciasail::standins {

/// What all model runners share.
struct RunnerContext
{
    http::EventLoop *loop = nullptr;
    const StandinSettings *settings = nullptr;
    Record *record = nullptr;
    /// Behaviour of the versions, which faults may change.
    std::map<std::string, VersionSettings> versions;
    /// Called for each finished answer, with the headers of its request.
    std::function<void(const RunRecord &, const http::Headers &)> onFinished;
};

/// Faults of one model runner.
struct RunnerFaults
{
    double slowFactor = 1;
    double errorRate = 0;
    /// Streams that are cut after some tokens.
    int cuts = 0;
    int cutAfterTokens = 0;
    /// Orders that take effect and whose reply is lost.
    int loseOrderReplies = 0;
};

/// A model engine: slots, a queue by priority, token streams, cache events, load and orders.
class ModelRunner
{
public:
    ModelRunner(RunnerContext &context, const ModelRunnerSettings &settings);

    kernel::Completion<kernel::Done> open() { return m_listener.open(); }
    void crash(kernel::Duration downTime);
    RunnerFaults &faults() { return m_faults; }
    const std::string &id() const { return m_settings.id; }
    const kernel::Endpoint &endpoint() const { return m_listener.endpoint(); }

private:
    struct Run
    {
        RunRecordPtr record;
        CompletionRequest request;
        http::Headers headers;
        ResponderPtr responder;
        std::string mark;
        /// Text of each event before its token's number.
        std::string eventHead;
        int next = 0;
        int total = 0;
        bool started = false;
        /// Token before which the stream is cut, or -1.
        int cutAt = -1;
        kernel::Timer timer;
    };
    using RunPtr = std::shared_ptr<Run>;

    struct CacheEvent
    {
        std::int64_t sequence = 0;
        std::string prefix;
        bool added = true;
        kernel::Instant visibleAt;
    };

    void handle(const http::ServerRequest &request, const ResponderPtr &responder);
    void complete(const http::ServerRequest &request, const ResponderPtr &responder);
    RunPtr makeRun(const http::ServerRequest &request, CompletionRequest completion,
                   const ResponderPtr &responder);
    void refuse(const RunPtr &run, int status, const std::string &code);
    void startNext();
    void start(const RunPtr &run);
    void emitFirst(const RunPtr &run);
    void emit(const RunPtr &run);
    void emitBatch(Run &run, int count);
    void emitEnd(Run &run);
    using Step = void (ModelRunner::*)(const RunPtr &);
    void later(const RunPtr &run, kernel::Duration delay, Step step);
    void stepIfAlive(const std::weak_ptr<Run> &weak, Step step);
    void startOrLater(const RunPtr &run, kernel::Duration delay, Step step);
    void answerWhole(const RunPtr &run);
    void finish(const RunPtr &run, const std::string &outcome);
    void cancel(const std::string &attempt);
    kernel::Duration scaled(kernel::Duration time, const Run &run) const;
    bool touchCache(const std::string &prefix);
    void addCacheEvent(const std::string &prefix, bool added);
    void sendLoad(const ResponderPtr &responder);
    void sendCacheEvents(const http::ServerRequest &request, const ResponderPtr &responder) const;
    void sendState(const ResponderPtr &responder) const;
    void order(const http::ServerRequest &request, const ResponderPtr &responder);
    void apply(OrderRecord &order);

    RunnerContext *m_context;
    ModelRunnerSettings m_settings;
    Listener m_listener;
    RunnerFaults m_faults;
    kernel::Random m_random;
    std::unordered_map<std::string, RunPtr> m_runs;
    std::multimap<int, RunPtr> m_queue;
    int m_running = 0;
    std::set<std::string> m_versions;
    std::map<std::string, kernel::Timer> m_loading;
    std::string m_role = "both";
    std::int64_t m_fencing = 0;
    /// Prefixes in the cache, the latest used first.
    std::list<std::string> m_cache;
    std::deque<CacheEvent> m_cacheEvents;
    std::int64_t m_cacheSequence = 0;
    /// The load that is reported, and when it was measured.
    kernel::Instant m_loadMeasuredAt{};
    int m_reportedRunning = 0;
    int m_reportedQueued = 0;
};

} // namespace acaciasail::standins
