#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/internal/lanes.h"
#include "forwarding/internal/types.h"
#include "forwarding/internal/upstreamnotices.h"

namespace acaciasail::forwarding {

/// What a daemon has seen of one upstream by its own requests.
struct UpstreamRecord
{
    int inFlight = 0;
    /// Expected work of the requests in flight, in the unit of Query::work.
    double workInFlight = 0;
    /// Share of failures among recent requests, with decay.
    double failureShare = 0;
    int recentRequests = 0;
    int consecutiveFailures = 0;
    /// Times that it was avoided without a good answer between them.
    int ejections = 0;
    /// A connection failed or broke; a probe finds out when one stands again.
    bool unreachable = false;
    kernel::Instant probeAt{};
    /// Probes that failed in turn.
    int failedProbes = 0;
    /// Gets work only when no other can take it.
    kernel::Instant avoidUntil{};
    UpstreamNotices notices;
    /// Start of the process that the figures are about.
    std::int64_t startedAtMs = 0;
};

using UpstreamRecords = std::map<kernel::UpstreamId, UpstreamRecord>;

/// What the choice needs to know of a request.
struct UpstreamQuery
{
    /// Requests with the same key gain from the same upstream; empty for plain services.
    std::string_view affinity;
    /// Expected work of the request; 1 for plain services.
    double work = 1;
    kernel::DataCentreId ownDataCentre;
    Lane lane = Lane::Any;
    /// Part of the upstreams that patient requests use.
    double patientPart = 0;
    /// Upstreams that had this request already.
    const std::set<kernel::UpstreamId> *exclude = nullptr;
    kernel::Instant now{};
};

enum class ChoiceReason {
    /// First in the key's order.
    Affinity,
    /// The first in the key's order carry too much.
    LeastLoaded,
    /// Has less to do than the first in the key's order, by its own report.
    ReportedLoad,
    /// Same data centre, with room.
    Near,
    /// All others are avoided.
    AvoidedIgnored,
    None,
};

std::string_view toString(ChoiceReason reason);

struct UpstreamChoice
{
    const Upstream *upstream = nullptr;
    ChoiceReason reason = ChoiceReason::None;
};

/// Chooses among the candidates; avoided ones only where no other is left, excluded ones and those
/// that are closed by their own notices never.
UpstreamChoice chooseUpstream(const std::vector<const Upstream *> &candidates,
                              const UpstreamRecords &records, const UpstreamQuery &query,
                              kernel::Random &random);

/// Chooses up to `most` different ones, the best first.
std::vector<UpstreamChoice> chooseUpstreams(const std::vector<const Upstream *> &candidates,
                                            const UpstreamRecords &records, UpstreamQuery query,
                                            std::size_t most, kernel::Random &random);

/// A request went to the upstream.
void noteBegin(UpstreamRecord &record, double work);

enum class RunOutcome {
    Good,
    Failed,
    /// No connection, or the connection broke: the process may be gone.
    Broken,
    /// Another process has the address.
    Replaced,
    /// Nothing came for far longer than usual.
    Silent,
    /// Refused for load.
    Full,
    /// Ended by us or the caller; says nothing.
    Cancelled,
};

/// A request ended there. Tells whether the upstream is avoided from now on.
bool noteEnd(UpstreamRecord &record, RunOutcome outcome, double work, double serviceFailureShare,
             kernel::Instant now);

/// A silent upstream can't be reached; true if that is new.
bool noteCutOff(UpstreamRecord &record, kernel::Instant now);
/// A connection to the upstream stands again: it may have work.
void noteReached(UpstreamRecord &record, kernel::Instant now);
/// A probe failed too; the next one comes later.
void noteUnreached(UpstreamRecord &record, kernel::Instant now);

} // namespace acaciasail::forwarding
