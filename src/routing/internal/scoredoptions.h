#pragma once

#include <vector>

#include "routing/internal/facts.h"
#include "routing/internal/quality.h"

namespace acaciasail::routing {

/// One version that may answer a request, with its estimated quality and cost.
struct Option
{
    const table::VersionRow *version = nullptr;
    /// Null while nothing is known about the version in this workspace and kind of request.
    const VersionQuality *versionQuality = nullptr;
    QualityEstimate quality;
    /// Expected cost in micro-currency.
    double cost = 0;
    /// Sum of cost and latency, weighted by the workspace's weights. Cost is measured in units of
    /// the workspace's mean cost of the most expensive option, latency in units of the options'
    /// mean latency.
    double penalty = 0;
};

/// The options of one request, with the price of quality by which they are scored.
struct ScoredOptions
{
    const table::WorkspaceRow *workspace = nullptr;
    std::vector<Option> options;
    double highestCost = 0;
    /// Price of quality: the penalty that is accepted for an increase of the quality by 1.
    double price = 0;

    double score(const Option &option) const;
};

/// Returns the eligible versions of a request as options, with penalties and the workspace's price
/// of quality.
ScoredOptions scoreOptions(const QualityEstimates &quality, const table::WorkspaceRow &workspace,
                           const RequestFacts &facts,
                           const std::vector<const table::VersionRow *> &versions);

/// Returns the decision for one option, with the given reason.
VersionDecision decisionFor(const ScoredOptions &scored, const Option &option,
                            VersionReason reason);

/// Chooses the option or cascade with the best score, without exploration.
VersionDecision chooseByPrice(const ScoredOptions &scored, const RequestFacts &facts);

/// Returns an option to explore in order to learn its quality, or null, as for most requests.
const Option *optionToExplore(const ScoredOptions &scored, const RequestFacts &facts,
                              const VersionDecision &chosen);

/// Returns the lowest price of quality at which a workspace's recent requests would reach its
/// target, including a correction for the deficit of earlier choices.
double planPrice(const table::Snapshot &snapshot, const QualityEstimates &quality,
                 const kernel::WorkspaceId &workspace);

} // namespace acaciasail::routing
