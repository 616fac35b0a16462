#include "admission/internal/fairqueue.h"

#include <algorithm>

namespace acaciasail::admission {

void FairQueue::push(const FlowKey &flow, QueuedRequest waiting, std::size_t maxIdleFlows)
{
    WorkspaceQueue &queue = m_workspaces[flow.workspace];
    queue.weight = flow.workspaceWeight;
    CallerQueue &callerQueue = queue.callers[flow.caller];
    callerQueue.weight = flow.callerWeight;
    callerQueue.cost += waiting.cost;
    m_cost += waiting.cost;
    ++m_requests;
    callerQueue.waiting.push_back(std::move(waiting));
    queue.callerTags.activate(flow.caller, flow.callerWeight, maxIdleFlows);
    m_workspaceTags.activate(flow.workspace, flow.workspaceWeight, maxIdleFlows);
}

QueuedRequest FairQueue::pop()
{
    const kernel::WorkspaceId workspace = m_workspaceTags.next();
    WorkspaceQueue &queue = m_workspaces.at(workspace);
    const kernel::CallerId caller = queue.callerTags.next();
    CallerQueue &callerQueue = queue.callers.at(caller);
    QueuedRequest waiting = std::move(callerQueue.waiting.front());
    callerQueue.waiting.pop_front();
    callerQueue.cost -= waiting.cost;
    m_cost -= waiting.cost;
    --m_requests;
    const auto cost = static_cast<double>(waiting.cost);
    queue.callerTags.serve(caller, cost, !callerQueue.waiting.empty());
    if (callerQueue.waiting.empty())
        queue.callers.erase(caller);
    m_workspaceTags.serve(workspace, cost, queue.callerTags.hasBacklog());
    removeIfIdle(workspace);
    sweepWorkspaces();
    return waiting;
}

bool FairQueue::remove(const FlowKey &flow, const kernel::RequestId &request)
{
    const auto entry = m_workspaces.find(flow.workspace);
    if (entry == m_workspaces.end())
        return false;
    WorkspaceQueue &queue = entry->second;
    const auto callerQueue = queue.callers.find(flow.caller);
    if (callerQueue == queue.callers.end())
        return false;
    auto &waiting = callerQueue->second.waiting;
    const auto found = std::ranges::find(waiting, request, &QueuedRequest::request);
    if (found == waiting.end())
        return false;
    callerQueue->second.cost -= found->cost;
    m_cost -= found->cost;
    --m_requests;
    waiting.erase(found);
    if (waiting.empty()) {
        queue.callers.erase(callerQueue);
        queue.callerTags.deactivate(flow.caller);
    }
    if (!queue.callerTags.hasBacklog())
        m_workspaceTags.deactivate(flow.workspace);
    removeIfIdle(flow.workspace);
    return true;
}

void FairQueue::adjustCost(const FlowKey &flow, std::int64_t difference)
{
    m_workspaceTags.adjustCost(flow.workspace, static_cast<double>(difference));
    const auto entry = m_workspaces.find(flow.workspace);
    if (entry == m_workspaces.end())
        return;
    entry->second.callerTags.adjustCost(flow.caller, static_cast<double>(difference));
    removeIfIdle(flow.workspace);
}

CallerQueueState FairQueue::callerStateOf(const FlowKey &flow) const
{
    CallerQueueState callerState;
    callerState.share = m_workspaceTags.shareOf(flow.workspace, flow.workspaceWeight);
    callerState.shareIfAllBacklogged = callerState.share;
    const auto entry = m_workspaces.find(flow.workspace);
    if (entry == m_workspaces.end())
        return callerState;
    const WorkspaceQueue &queue = entry->second;
    callerState.debt = queue.callerTags.debtOf(flow.caller);
    callerState.share *= queue.callerTags.shareOf(flow.caller, flow.callerWeight);
    callerState.shareIfAllBacklogged *= queue.callerTags.shareIfAllBacklogged(flow.callerWeight);
    const auto callerQueue = queue.callers.find(flow.caller);
    if (callerQueue != queue.callers.end()) {
        callerState.requests = static_cast<std::int64_t>(callerQueue->second.waiting.size());
        callerState.cost = callerQueue->second.cost;
    }
    return callerState;
}

std::size_t FairQueue::knownFlows() const
{
    std::size_t flows = m_workspaces.size();
    for (const auto &[workspace, queue] : m_workspaces)
        flows += queue.callerTags.flowCount();
    return flows;
}

void FairQueue::removeIfIdle(const kernel::WorkspaceId &workspace)
{
    const auto entry = m_workspaces.find(workspace);
    if (entry != m_workspaces.end() && entry->second.callerTags.flowCount() == 0)
        m_workspaces.erase(entry);
}

void FairQueue::sweepWorkspaces()
{
    if (--m_popsUntilSweep > 0)
        return;
    m_popsUntilSweep = popsPerSweep;
    std::erase_if(m_workspaces, [this](const auto &entry) {
        return !entry.second.callerTags.hasBacklog() && !m_workspaceTags.tracks(entry.first);
    });
}

} // namespace acaciasail::admission
