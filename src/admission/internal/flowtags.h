#pragma once

#include <algorithm>
#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace acaciasail::admission {

/// Start-time fair queueing over the flows of one level: the workspaces of a queue, or the callers
/// of a workspace.
///
/// Each backlogged flow has a start tag in virtual time, and the flow with the smallest tag is
/// served next. Serving a cost advances the flow's tag by cost / weight. An idle flow stays
/// tracked until virtual time reaches its last tag, so that a flow gains no advantage by pausing.
template<class Key>
class FlowTags
{
public:
    /// Marks a flow as backlogged. A changed weight takes effect from this call on.
    void activate(const Key &key, double weight, std::size_t maxIdle)
    {
        auto [entry, added] = m_flows.try_emplace(key);
        Flow &flow = entry->second;
        flow.weight = std::max(weight, minWeight);
        if (flow.backlogged)
            return;
        if (!added)
            m_idle.erase({ flow.tag, key });
        flow.tag = added ? m_virtualTime : std::max(flow.tag, m_virtualTime);
        flow.backlogged = true;
        m_backlogged.insert({ flow.tag, key });
        m_backloggedWeight += flow.weight;
        flow.weightInBacklogSum = flow.weight;
        trimIdleFlows(maxIdle);
    }

    /// Returns the flow to serve next. At least one flow must be backlogged.
    const Key &next() const { return m_backlogged.begin()->second; }

    /// Charges a cost to a backlogged flow, and marks the flow as idle unless it is still
    /// backlogged.
    void serve(const Key &key, double cost, bool stillBacklogged)
    {
        Flow &flow = m_flows.at(key);
        m_virtualTime = std::max(m_virtualTime, flow.tag);
        m_backlogged.erase({ flow.tag, key });
        flow.tag += cost / flow.weight;
        if (stillBacklogged)
            m_backlogged.insert({ flow.tag, key });
        else
            markIdle(key, flow);
        removeExpiredIdleFlows();
    }

    /// Marks a backlogged flow as idle without serving it.
    void deactivate(const Key &key)
    {
        Flow &flow = m_flows.at(key);
        m_backlogged.erase({ flow.tag, key });
        markIdle(key, flow);
        removeExpiredIdleFlows();
    }

    /// Adds `difference` to the cost of earlier service. Does nothing if the flow is no longer
    /// tracked.
    void adjustCost(const Key &key, double difference)
    {
        const auto entry = m_flows.find(key);
        if (entry == m_flows.end())
            return;
        Flow &flow = entry->second;
        auto &order = flow.backlogged ? m_backlogged : m_idle;
        order.erase({ flow.tag, key });
        flow.tag = std::max(flow.tag + difference / flow.weight, m_virtualTime);
        order.insert({ flow.tag, key });
        removeExpiredIdleFlows();
    }

    bool hasBacklog() const { return !m_backlogged.empty(); }
    /// Returns the number of tracked flows, backlogged or idle.
    std::size_t flowCount() const { return m_flows.size(); }
    bool tracks(const Key &key) const { return m_flows.contains(key); }

    /// Returns the fraction of the service that a flow receives, or would receive if it were
    /// backlogged too.
    double shareOf(const Key &key, double weight) const
    {
        const double own = std::max(weight, minWeight);
        const auto entry = m_flows.find(key);
        const bool counted = entry != m_flows.end() && entry->second.backlogged;
        return own / (counted ? std::max(m_backloggedWeight, own) : m_backloggedWeight + own);
    }

    /// Returns the cost by which a flow's service is ahead of virtual time. Other backlogged flows
    /// are served until virtual time reaches the flow's tag before the flow is served again.
    double debtOf(const Key &key) const
    {
        const auto entry = m_flows.find(key);
        if (entry == m_flows.end())
            return 0;
        return std::max(0.0, entry->second.tag - m_virtualTime) * entry->second.weight;
    }

    /// Returns the fraction of the service that a flow would receive if all tracked flows were
    /// backlogged. Idle flows are assumed to have the same weight as this flow.
    double shareIfAllBacklogged(double weight) const
    {
        const double own = std::max(weight, minWeight);
        const double idle = static_cast<double>(m_idle.size()) * own;
        return own / std::max(m_backloggedWeight + idle, own);
    }

private:
    static constexpr double minWeight = 1e-3;

    struct Flow
    {
        double weight = 1;
        /// Weight with which the flow was added to m_backloggedWeight.
        double weightInBacklogSum = 0;
        double tag = 0;
        bool backlogged = false;
    };

    void markIdle(const Key &key, Flow &flow)
    {
        flow.backlogged = false;
        m_backloggedWeight
            = m_backlogged.empty() ? 0 : m_backloggedWeight - flow.weightInBacklogSum;
        m_idle.insert({ flow.tag, key });
    }

    void removeExpiredIdleFlows()
    {
        while (!m_idle.empty() && m_idle.begin()->first <= m_virtualTime)
            removeFirstIdleFlow();
    }

    void trimIdleFlows(std::size_t maxIdle)
    {
        while (m_idle.size() > maxIdle)
            removeFirstIdleFlow();
    }

    void removeFirstIdleFlow()
    {
        m_flows.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }

    double m_virtualTime = 0;
    double m_backloggedWeight = 0;
    std::unordered_map<Key, Flow> m_flows;
    std::set<std::pair<double, Key>> m_backlogged;
    std::set<std::pair<double, Key>> m_idle;
};

} // namespace acaciasail::admission
