#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "forwarding/internal/crashes/partevidence.h"

namespace acaciasail::forwarding {

/// What a router knows of the trials of a blamed part.
struct PartTrialState
{
    /// Time since which this router blames the part.
    kernel::Instant blamedSince{};
    /// A request of this router is under way as a trial.
    bool running = false;
};

/// A router's knowledge of prompt parts and the crashes of upstreams.
struct PartCrashes
{
    /// Evidence of all routers.
    PartEvidenceSet known;
    /// Evidence that this router recorded itself.
    PartEvidenceSet own;
    CrashedProcesses crashed;
    /// Times at which this router last saw a request with the part run to completion, or long
    /// enough to show that the part is sound.
    PartTimes completedAt;
    /// Times at which this router last saw an upstream begin to write a response to a request with
    /// the part that then went on for a while.
    PartTimes writtenAt;
    /// Parts whose evidence the other routers don't have yet, and since when: most parts are
    /// completed again soon, and then nobody needs the evidence.
    std::map<PromptPartKey, kernel::Instant> pending;
    /// Parts on which other routers have evidence.
    std::set<PromptPartKey> shared;
    /// The router's own evidence has changes that were not shared yet.
    bool hasUnsharedEvidence = false;
    BlamedParts blamed;
    /// The other routers that told of crashes of requests with a part.
    std::map<PromptPartKey, std::set<kernel::VmId>> reporters;
    std::map<PromptPartKey, PartTrialState> trials;
    /// The evidence changed since `blamed` was determined.
    bool isBlameOutdated = false;
};

/// A crash of an upstream while it ran a request.
struct PartCrash
{
    /// The parts that the request may share with others.
    std::vector<PromptPartKey> parts;
    poison::Fingerprint request;
    /// Id of the upstream's process, as processIdOf() returns it.
    kernel::UpstreamId process;
    kernel::WallTime crashedAt;
};

/// Records that an upstream crashed while it ran a request with these parts.
void recordPartCrash(PartCrashes &crashes, const PartCrash &crash, kernel::Instant now);
/// Records that these parts crashed no upstream at that time: a request with them ran to completion
/// then, or the response to it was begun then and went on for long.
void recordPartsCompleted(PartCrashes &crashes, const std::vector<PromptPartKey> &parts,
                          kernel::WallTime at);

/// Records that an upstream began to write the response to a request with these parts at that time,
/// and went on for a while without a crash.
void recordPartsWritten(PartCrashes &crashes, const std::vector<PromptPartKey> &parts,
                        kernel::WallTime at);

/// Records that the process did not crash up to that time, so that nothing is held against the
/// parts of the requests that it ran. Returns whether this router had reported such a crash.
bool recordProcessAlive(PartCrashes &crashes, const kernel::UpstreamId &process,
                        kernel::WallTime until);

/// Merges the evidence of another router; returns whether any of it was new.
bool mergeReceivedParts(PartCrashes &crashes, const PartEvidenceSet &received);
/// Removes expired evidence.
void expireParts(PartCrashes &crashes, kernel::WallTime wallNow);

/// Changes of the blamed parts.
struct BlameChange
{
    std::vector<PromptPartKey> blamed;
    std::vector<PromptPartKey> cleared;
};

/// Determines anew which parts crash upstreams, if the evidence changed.
BlameChange updateBlame(PartCrashes &crashes);
/// Returns the first of these parts that crashes upstreams; nothing if none does.
std::optional<PromptPartKey> findBlamedPart(const PartCrashes &crashes,
                                            const std::vector<PromptPartKey> &parts);

/// Returns whether this router's own evidence has changes that should be shared now.
bool isPartShareDue(PartCrashes &crashes, kernel::Instant now);
/// Returns the evidence to share and marks it as shared.
PartEvidenceSet takePartsToShare(PartCrashes &crashes);

} // namespace acaciasail::forwarding
