#pragma once

#include <list>
#include <optional>
#include <unordered_map>

#include "admission/internal/flowtags.h"
#include "admission/internal/types.h"

namespace acaciasail::admission {

/// A waiting request as stored in a queue. The cost is the estimated number of tokens.
struct QueuedRequest
{
    kernel::RequestId request;
    std::int64_t cost = 1;
};

/// Identifies the flow of a request in a fair queue, with the weights of its workspace and of its
/// caller.
struct FlowKey
{
    kernel::WorkspaceId workspace;
    kernel::CallerId caller;
    double workspaceWeight = 1;
    double callerWeight = 1;
};

/// The state of one caller in a fair queue.
struct CallerQueueState
{
    /// Number of the caller's waiting requests, and their total cost in estimated tokens.
    std::int64_t requests = 0;
    std::int64_t cost = 0;
    /// Cost of the service that the caller has received beyond its fair share among the callers of
    /// its workspace.
    double debt = 0;
    /// Fraction of the queue's service that the caller receives, or would receive with one more
    /// request, if it competes only with the flows that have waiting requests.
    double share = 1;
    /// The same fraction if all callers of the workspace whose service is tracked had waiting
    /// requests as well.
    double shareIfAllBacklogged = 1;
};

/// The waiting requests of one rank in one pool, served by weighted fair queueing across workspaces
/// and then across the callers of a workspace.
class FairQueue
{
public:
    void push(const FlowKey &flow, QueuedRequest waiting, std::size_t maxIdleFlows);

    /// Removes and returns the next request, and charges its cost to its flow. The queue must not
    /// be empty.
    QueuedRequest pop();

    /// Removes a waiting request without charging its cost. Returns false if the queue does not
    /// contain the request.
    bool remove(const FlowKey &flow, const kernel::RequestId &request);

    /// Adds `difference` to the cost that was charged for a request popped earlier.
    void adjustCost(const FlowKey &flow, std::int64_t difference);

    bool empty() const { return m_requests == 0; }
    std::int64_t requests() const { return m_requests; }
    std::int64_t cost() const { return m_cost; }

    /// Returns the state of a caller in this queue.
    CallerQueueState callerStateOf(const FlowKey &flow) const;

    /// Calls visit(request, flow, cost) for each waiting request, with the cost ahead of the
    /// request in its caller's queue. If visit returns false, the request's own cost is not counted
    /// as ahead of the caller's following requests.
    template<class Visit>
    void forEach(Visit &&visit) const
    {
        for (const auto &[workspace, queue] : m_workspaces) {
            for (const auto &[caller, callerQueue] : queue.callers)
                visitCallerQueue(visit, workspace, queue, caller, callerQueue);
        }
    }

    /// Returns the number of workspaces and callers that the queue tracks, including idle ones
    /// whose recent service still counts.
    std::size_t knownFlows() const;

private:
    /// Number of pops between two sweeps. A sweep removes workspaces that are idle and no longer
    /// tracked, but that still track idle callers.
    static constexpr std::int64_t popsPerSweep = 1024;

    struct CallerQueue
    {
        double weight = 1;
        std::int64_t cost = 0;
        std::list<QueuedRequest> waiting;
    };

    struct WorkspaceQueue
    {
        double weight = 1;
        FlowTags<kernel::CallerId> callerTags;
        /// Callers with waiting requests.
        std::unordered_map<kernel::CallerId, CallerQueue> callers;
    };

    template<class Visit>
    void visitCallerQueue(Visit &visit, const kernel::WorkspaceId &workspace,
                          const WorkspaceQueue &queue, const kernel::CallerId &caller,
                          const CallerQueue &callerQueue) const
    {
        const FlowKey flow{ workspace, caller, queue.weight, callerQueue.weight };
        std::int64_t costAhead = 0;
        for (const QueuedRequest &waiting : callerQueue.waiting) {
            if (visit(waiting, flow, costAhead))
                costAhead += waiting.cost;
        }
    }

    void removeIfIdle(const kernel::WorkspaceId &workspace);
    void sweepWorkspaces();

    FlowTags<kernel::WorkspaceId> m_workspaceTags;
    std::unordered_map<kernel::WorkspaceId, WorkspaceQueue> m_workspaces;
    std::int64_t m_requests = 0;
    std::int64_t m_cost = 0;
    std::int64_t m_popsUntilSweep = popsPerSweep;
};

} // namespace acaciasail::admission
