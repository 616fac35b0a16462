#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// An upstream's process that is taken for crashed.
struct SuspectedProcess
{
    kernel::UpstreamId upstream;
    /// Time at which this router learned of the crash.
    kernel::Instant learnedAt{};
    /// Time since which a connection to the upstream stands while its registration names the same
    /// process; nothing if there is no such connection.
    std::optional<kernel::Instant> reachedAt;
};

/// Processes that are taken for crashed, by the id that processIdOf() returns.
///
/// A connection that breaks or is refused looks the same whether the process ended or only its
/// link. A process that can be reached later, and that is still registered under its start time a
/// while after that, never ended.
struct SuspectedProcesses
{
    std::map<kernel::UpstreamId, SuspectedProcess> processes;
};

/// Times at which processes were found alive, by their ids.
using AliveTimes = std::map<kernel::UpstreamId, kernel::WallTime>;

/// Returns the upstream of the process with this id.
kernel::UpstreamId upstreamOfProcess(const kernel::UpstreamId &process);

/// Records that the process is taken for crashed; has no effect if it already is. Beyond the
/// capacity the process that was suspected longest ago is forgotten.
void recordSuspicion(SuspectedProcesses &suspected, const kernel::UpstreamId &process,
                     kernel::Instant now);
/// Records that a connection to the process stands.
void recordReached(SuspectedProcesses &suspected, const kernel::UpstreamId &process,
                   kernel::Instant now);
/// Records that no connection to the upstream can be opened.
void recordUnreached(SuspectedProcesses &suspected, const kernel::UpstreamId &upstream);

/// What follows from a review of the suspected processes.
struct SuspicionReview
{
    /// Processes that never ended. They are not suspected any more.
    std::vector<kernel::UpstreamId> alive;
    /// Processes that are still registered although crashed ones no longer are, and that were not
    /// reached yet.
    std::vector<kernel::UpstreamId> toProbe;
};

/// Returns the process id of a registered upstream; nothing if there is no such registration.
using RegisteredProcess
    = std::function<std::optional<kernel::UpstreamId>(const kernel::UpstreamId &upstream)>;

/// Reviews the suspected processes against the registrations, which must be current.
SuspicionReview reviewSuspicions(SuspectedProcesses &suspected, const RegisteredProcess &registered,
                                 kernel::Instant now);
/// Records that registrations may be out of date, so connections so far prove nothing.
void restartConfirmations(SuspectedProcesses &suspected);

/// Removes the processes whose evidence has expired.
void expireSuspicions(SuspectedProcesses &suspected, kernel::Instant now);

} // namespace acaciasail::forwarding
