#pragma once

#include <map>
#include <string>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Rules by which a route's models are selected.
struct ModelRules
{
    /// Confidence (0 to 100) below which a response is dropped and the request escalates to the
    /// largest model. Applies to a request whose entire cost is in reading its prompt.
    int escalateBelow = 50;
    /// The same threshold while the service's engines are busy: a response of a large model then
    /// delays other requests.
    int escalateBelowBusy = 35;
    /// Added to the threshold in proportion to the fraction of the request's cost that is in its
    /// output: the longer the output, the more a better response is worth compared with the cost
    /// of processing the prompt again.
    int escalateBelowForAnswer = 35;
    /// Minimum time that must be left for an escalation, as a fraction of the route's objective.
    double minObjectiveFractionLeft = 0.2;
};

/// Exponentially weighted moving average of the share of a service's requests whose first byte came
/// late or not at all.
struct LateRequestRate
{
    double lateFraction = 0;
};

/// Records one request; `late` tells that half of its latency objective had passed before the first
/// byte.
void recordLateness(LateRequestRate &lateRequestRate, bool late);

/// Returns how busy a service's engines are, judged by the share of late requests: 0 (idle) to 1
/// (saturated).
double saturation(const LateRequestRate &lateRequestRate);

/// Returns the model to use first: the smallest of the route's models, or the model that the caller
/// named.
std::string firstModel(const Route &route, const ModelWork &work);

/// Expected times from a request's start at a model to the first event of its response; models
/// without an estimate have no entry.
using ExpectedFirstEvents = std::map<std::string, kernel::Duration>;

/// Returns the model to escalate to before any of the response was sent to the caller; empty if the
/// response is kept. This is the largest model, unless that is expected to respond only after the
/// latency objective: then it is a smaller one that responds in time, if the engines are not busy.
/// `sendsLeft` is the number of sends that the request has left, `engineSaturation` is the value of
/// saturation().
std::string escalateTo(const Route &route, const ModelRules &rules, const ModelWork &work,
                       const std::string &currentModel, std::optional<int> confidence,
                       int sendsLeft, kernel::Duration objectiveLeft, double engineSaturation,
                       const ExpectedFirstEvents &expected = {});

/// Returns the urgency of a request at an engine, 0 (most urgent) to 9. The route's rank counts
/// more than the workspace's, because the route's objective states how soon the response is wanted;
/// the workspace's rank orders the requests of equally ranked routes. Engines batch the requests of
/// all workspaces together, so if the workspace's rank counted more, the long requests of one
/// workspace would delay the short requests of the others.
int engineUrgency(int routeRank, int workspaceRank);

/// Returns the expected work of a request at an engine in units of one prompt token; a generated
/// token counts as several prompt tokens.
double expectedWork(const ModelWork &work);

} // namespace acaciasail::forwarding
