#pragma once

#include <string>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// How a route's models are used.
struct ModelRules
{
    /// Confidence (0 to 100) below which an answer is dropped and the largest model asked, for a
    /// request whose cost is all in reading its prompt.
    int escalateBelow = 50;
    /// The same while the service's engines are busy: a large model's answer then delays others.
    int escalateBelowBusy = 35;
    /// Added to that for a request whose cost is all in its answer: the larger model's answer costs
    /// less then, for the same worth.
    int escalateBelowForAnswer = 35;
    /// Shortest time that must be left, as a part of the route's objective, to ask again.
    double minObjectiveLeft = 0.2;
};

/// How punctual a service has been lately: the share of its requests whose first byte came late or
/// not at all, with decay.
struct Punctuality
{
    double lateShare = 0;
};

/// Takes in one request; `late` tells that half of its objective had passed.
void notePunctuality(Punctuality &punctuality, bool late);

/// How busy a service's engines are, as far as its punctuality shows: 0 (calm) to 1.
double busyness(const Punctuality &punctuality);

/// The model to ask first: the smallest of the route's, or the caller's own.
std::string firstModel(const Route &route, const ModelWork &work);

/// The model to ask in place of an answer that nobody has seen yet; empty where the answer stands.
/// `sentLeft` is the number of sends that the request may still have, `busy` that of busyness().
std::string escalateTo(const Route &route, const ModelRules &rules, const ModelWork &work,
                       const std::string &asked, std::optional<int> confidence, int sentLeft,
                       kernel::Duration objectiveLeft, double busy);

/// The urgency of a request at an engine, 0 (first) to 9: by its route, whose objective says how
/// soon its answer is wanted, and among equals by its workspace. Engines batch all workspaces
/// together, so a workspace that goes before its route would delay the others' short requests for
/// its long ones.
int engineUrgency(int routeRank, int workspaceRank);

/// Expected work of a request at an engine, in tokens read: a token generated counts as many.
double expectedWork(const ModelWork &work);

} // namespace acaciasail::forwarding
