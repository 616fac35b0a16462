#pragma once

#include <map>
#include <optional>
#include <vector>

#include "forwarding/internal/crashes/parttrial.h"
#include "forwarding/internal/crashes/suspectedprocesses.h"
#include "forwarding/internal/types.h"
#include "poison/poison.h"

namespace acaciasail::forwarding {

/// A run of a request whose upstream broke the connection or became unreachable. Later evidence
/// decides whether the upstream crashed.
struct LostRun
{
    kernel::RequestId request;
    poison::Fingerprint fingerprint;
    /// Parts of the prompt that other requests may share.
    std::vector<PromptPartKey> sharedParts;
    kernel::UpstreamId upstream;
    /// Id of the upstream's process, as processIdOf() returns it.
    kernel::UpstreamId process;
    kernel::Instant startedAt{};
    kernel::Instant lostAt{};
    /// Time at which the upstream was found to be gone.
    std::optional<kernel::Instant> goneAt;
    /// The request finished without a response, so its caller may send it again to any router.
    bool unanswered = false;
    /// The response ended with its connection: it is complete, unless the upstream crashed.
    bool mayBeComplete = false;
    /// The crash was recorded as evidence on the parts of the prompt.
    bool countsForParts = false;
};

/// Time at which an upstream was found to be gone, and whether the upstream came back since.
struct GoneUpstream
{
    kernel::Instant since{};
    bool returned = false;
};

/// A confirmed crash that is not shared with other routers yet, because most requests soon complete
/// at another upstream.
struct PendingEvidence
{
    poison::PoisonEvidence evidence;
    kernel::Instant since{};
    /// Another upstream is sending a response to the request.
    bool hasProgress = false;
};

/// What a router tells the others about crashes.
struct CrashReport
{
    poison::PoisonEvidenceSet requests;
    PartEvidenceSet parts;
    /// Processes whose crashes the router had reported and takes back, and when they were found
    /// alive.
    AliveTimes alive;
};

/// A router's evidence on poison requests and prompt parts, which crash each upstream that runs
/// them.
///
/// A lost run counts as a crash unless its upstream is found alive, at once or later. Confirmed
/// crashes are shared with the other routers, whose evidence is merged into this one.
struct CrashEvidence
{
    /// Evidence of all routers.
    poison::PoisonEvidenceSet known;
    /// Evidence that this router recorded itself and shares with the others.
    poison::PoisonEvidenceSet own;
    std::map<poison::Fingerprint, PendingEvidence> pending;
    std::vector<LostRun> lost;
    std::map<kernel::UpstreamId, GoneUpstream> gone;
    PartCrashes parts;
    /// Processes whose crashes count as evidence.
    SuspectedProcesses suspected;
    /// Times at which processes were found alive by any router. Their crashes up to then don't
    /// count.
    AliveTimes alive;
    /// Those whose crashes this router had reported and takes back.
    AliveTimes ownAlive;
    /// The router's own evidence has changes that were not shared yet.
    bool hasUnsharedEvidence = false;
    kernel::Instant sharedAt{};
};

/// Returns an id for one process of an upstream; a restart under the same upstream id gives another
/// process id.
kernel::UpstreamId processIdOf(const Upstream &upstream);

/// Records that an upstream broke the connection, or became unreachable without a response, while
/// it ran the request.
void recordLostRun(CrashEvidence &evidence, LostRun run);
/// Records that the upstream is unreachable or that another process took its place.
void recordUpstreamGone(CrashEvidence &evidence, const kernel::UpstreamId &upstream,
                        kernel::Instant now);
/// Records that the upstream can be reached, so its recent lost runs had another cause than a
/// crash, and those that may be complete are.
void recordUpstreamAlive(CrashEvidence &evidence, const kernel::UpstreamId &upstream,
                         kernel::WallTime wallNow);
/// Classifies the lost runs for which the evidence suffices; returns those during which the
/// upstream crashed.
std::vector<LostRun> classifyLostRuns(CrashEvidence &evidence, kernel::Instant now,
                                      kernel::WallTime wallNow);
/// Records that the request ran to completion, which invalidates the earlier evidence against it
/// and against the parts of its prompt.
void recordCompletedRun(CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
                        const std::vector<PromptPartKey> &sharedParts, kernel::WallTime wallNow);

/// Records that a response to the request is in progress.
void recordProgress(CrashEvidence &evidence, const poison::Fingerprint &fingerprint);
/// Records that the request finished without a response, so its caller may send it again to any
/// router.
void recordUnanswered(CrashEvidence &evidence, const poison::Fingerprint &fingerprint);

/// Returns the number of upstream processes that crashed while they ran the request, including
/// those of lost runs that are not classified yet, but not those that a prompt part explains.
int countCrashes(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint);
/// Returns whether the request must not be sent any more, because of itself or of a part of its
/// prompt.
bool crashesUpstreams(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
                      const std::vector<PromptPartKey> &sharedParts = {});
/// Returns the blamed part that this router may now try with the request, which is otherwise
/// refused; nothing if there is none.
std::optional<PromptPartKey> partToTry(const CrashEvidence &evidence,
                                       const poison::Fingerprint &fingerprint,
                                       const std::vector<PromptPartKey> &sharedParts,
                                       const kernel::VmId &self, kernel::Instant now,
                                       kernel::WallTime wallNow);
/// Returns whether a trial that is under way will show whether the request, which is otherwise
/// refused, can be sent.
bool isTrialUnderWay(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
                     const std::vector<PromptPartKey> &sharedParts);
/// Returns the number of requests that are refused because of their crashes.
std::size_t countRefusedRequests(const CrashEvidence &evidence);

/// Records that the upstream's process never ended, so that its crashes so far count against
/// nothing.
void recordProcessAlive(CrashEvidence &evidence, const kernel::UpstreamId &process,
                        kernel::WallTime wallNow);

/// Merges the evidence of another router; returns whether any of it was new.
bool mergeCrashEvidence(CrashEvidence &evidence, const CrashReport &received, kernel::Instant now);
/// Restores the evidence of this router's previous process.
void restoreCrashEvidence(CrashEvidence &evidence, const CrashReport &restored,
                          kernel::Instant now);
/// Removes expired evidence.
void expireCrashEvidence(CrashEvidence &evidence, kernel::Instant now, kernel::WallTime wallNow);

/// Returns whether this router has evidence of its own that is not certain or not shared yet. Both
/// take a few seconds.
bool hasEvidenceToShare(const CrashEvidence &evidence);
/// Returns whether this router's own evidence should be shared now.
bool isShareDue(CrashEvidence &evidence, kernel::Instant now);
/// Returns the evidence to share and marks it as shared.
CrashReport takeEvidenceToShare(CrashEvidence &evidence, kernel::Instant now);

} // namespace acaciasail::forwarding
