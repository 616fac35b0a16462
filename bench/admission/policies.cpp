#include "admission/policies.h"

#include <deque>
#include <memory>

namespace acaciasail::bench {

namespace {

using admission::AdmissionDecision;
using admission::AdmissionOutcome;
using admission::AdmissionReason;
using admission::AdmissionRequest;
using admission::ReleasedRequest;

/// Requests that wait in each queue of a baseline, as much as admission allows in each rank.
constexpr std::size_t maxBaselineQueue = 4096;

/// A baseline: queues served strictly in order, each bounded.
struct Queues
{
    explicit Queues(std::size_t count)
        : waiting(count)
    {}

    std::vector<std::deque<AdmissionRequest>> waiting;
    std::int64_t capacity = 0;
    std::int64_t running = 0;
};

AdmissionDecision admitTo(Queues &queues, std::size_t queue, const AdmissionRequest &ask)
{
    if (queues.running < queues.capacity) {
        ++queues.running;
        return { .outcome = AdmissionOutcome::Admitted, .reason = AdmissionReason::CapacityFree };
    }
    if (queues.waiting[queue].size() >= maxBaselineQueue) {
        return { .code = kernel::ResultCode::QueueFull, .reason = AdmissionReason::RankQueueFull };
    }
    queues.waiting[queue].push_back(ask);
    return { .outcome = AdmissionOutcome::Queued };
}

std::vector<ReleasedRequest> releaseFrom(Queues &queues, kernel::Instant now)
{
    std::vector<ReleasedRequest> releases;
    for (auto &queue : queues.waiting) {
        while (!queue.empty() && queues.running < queues.capacity) {
            ++queues.running;
            releases.push_back(
                { queue.front(),
                  { .outcome = AdmissionOutcome::Admitted, .reason = AdmissionReason::FairTurn },
                  now - queue.front().arrived });
            queue.pop_front();
        }
    }
    return releases;
}

Policy queuePolicy(std::string name, std::size_t count)
{
    const auto queues = std::make_shared<Queues>(count);
    return Policy{
        .name = std::move(name),
        .setCapacity = [queues](std::int64_t slots) { queues->capacity = slots; },
        .admit =
            [queues](const AdmissionRequest &ask, kernel::Instant) {
                const auto rank = static_cast<std::size_t>(ask.rank);
                return admitTo(*queues, std::min(rank, queues->waiting.size() - 1), ask);
            },
        .release = [queues](kernel::Instant now) { return releaseFrom(*queues, now); },
        .finish = [queues](const kernel::RequestId &, kernel::Tokens,
                           kernel::Instant) { --queues->running; },
    };
}

/// The state and the settings of one run of admission.
struct Run
{
    admission::AdmissionState state;
    admission::AdmissionConfig config;
    table::Snapshot snapshot;
};

Policy admissionPolicy(std::string name, const table::Snapshot &snapshot, bool callersAsOne)
{
    const auto run = std::make_shared<Run>();
    run->snapshot = snapshot;
    const auto asFlow = [callersAsOne](AdmissionRequest ask) {
        if (callersAsOne)
            ask.caller = kernel::CallerId(ask.workspace.str() + "c0");
        return ask;
    };
    return Policy{
        .name = std::move(name),
        .setCapacity
        = [run](std::int64_t slots) { setCapacity(run->state, admission::PoolId(), slots); },
        .admit =
            [run, asFlow](const AdmissionRequest &ask, kernel::Instant now) {
                return admit(run->state, run->config, run->snapshot, asFlow(ask), now);
            },
        .release = [run](kernel::Instant now) { return releaseNext(run->state, run->config, now); },
        .finish =
            [run](const kernel::RequestId &request, kernel::Tokens tokens, kernel::Instant now) {
                admission::finish(run->state, run->config, request, tokens, now);
            },
    };
}

} // namespace

Policy acaciasailPolicy(const table::Snapshot &snapshot)
{
    return admissionPolicy("acaciasail", snapshot, false);
}

Policy noCallerFairnessPolicy(const table::Snapshot &snapshot)
{
    return admissionPolicy("no fair queueing", snapshot, true);
}

Policy fifoPolicy()
{
    return queuePolicy("fifo", 1);
}

Policy strictPriorityPolicy()
{
    return queuePolicy("strict priority", table::rankCount);
}

} // namespace acaciasail::bench
