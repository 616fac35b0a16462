#pragma once

#include <cstddef>
#include <vector>

#include "kernel/kernel.h"
#include "wire/wire.h"

namespace acaciasail::peers {

/// Parameters of the failure detector. With these, all daemons of a data centre know of a failed VM
/// there after at most period + pingsBeforeSuspicion * pingInterval + pingsFromSuspicionToFailure *
/// pingInterval, plus the delay of dissemination along the tree.
struct ProbeOptions
{
    /// Time between the starts of two probes. Each probe targets the next daemon of the ring.
    kernel::Duration period = std::chrono::milliseconds(500);
    /// Time between two pings of one probe.
    kernel::Duration pingInterval = std::chrono::milliseconds(150);
    /// Number of unanswered pings after which the target is suspected.
    int pingsBeforeSuspicion = 4;
    /// Number of further unanswered pings after which a suspected target is marked as failed.
    int pingsFromSuspicionToFailure = 5;
    /// Number of daemons that are asked for an indirect probe in each step of a probe except the
    /// first.
    std::size_t indirectProberCount = 2;
};

/// Settings of the peers library.
struct PeersOptions
{
    wire::Peer self;
    /// Addresses that are contacted in addition to those of the platform's VM list.
    std::vector<kernel::Endpoint> seeds;
    ProbeOptions probe;
    /// Maximum number of children of a daemon in the tree.
    std::size_t fanOut = 3;
    /// Number of daemons of a data centre that watch the store.
    std::size_t watchersPerDataCentre = 2;
    /// How long a daemon continues to watch the store after other daemons were selected instead.
    kernel::Duration watchStopDelay = std::chrono::seconds(5);
    /// How long a new daemon looks for peers before it acts on the members known by then, possibly
    /// only itself.
    kernel::Duration joinTimeout = std::chrono::seconds(1);
    /// Time between two comparisons of digests with the parent in the tree.
    kernel::Duration parentDigestInterval = std::chrono::seconds(1);
    /// Time between two comparisons of digests with a random daemon.
    kernel::Duration randomDigestInterval = std::chrono::seconds(5);
    /// Time between two reads of the platform's VM list, by the data centre's root only.
    kernel::Duration vmListInterval = std::chrono::seconds(5);
    /// Minimum time between two pushes of rows and members to the neighbours.
    kernel::Duration pushInterval = std::chrono::milliseconds(100);
    /// Minimum time between two pushes of one topic.
    kernel::Duration topicInterval = std::chrono::milliseconds(200);
    /// Average rate, in bytes per second, at which topics are pushed to all neighbours together.
    double topicBytesPerSecond = 600;
    /// Timeout after which a push is retried once, and also sent to the neighbour's own neighbours.
    kernel::Duration pushTimeout = std::chrono::milliseconds(300);
    /// Timeout of a call to a peer.
    kernel::Duration callTimeout = std::chrono::milliseconds(600);
};

} // namespace acaciasail::peers
