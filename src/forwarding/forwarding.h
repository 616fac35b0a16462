#pragma once

/// Forwards requests to upstreams by route and retries them as far as the kind of each request
/// allows.
///
/// Decisions are free functions over plain structs that take the time and random numbers as
/// arguments. Job runs one request by these decisions; Forwarder holds all requests and the state
/// of the router. The wire format of a deployment stays outside this library: its adapter fills
/// UpstreamWireFormat and passes updates to Forwarder.

#include "forwarding/internal/attemptstate.h"
#include "forwarding/internal/crashevidence.h"
#include "forwarding/internal/directory.h"
#include "forwarding/internal/engineload.h"
#include "forwarding/internal/eventsplitter.h"
#include "forwarding/internal/forwarder.h"
#include "forwarding/internal/inactivitytimeout.h"
#include "forwarding/internal/job.h"
#include "forwarding/internal/lanes.h"
#include "forwarding/internal/limitsharing.h"
#include "forwarding/internal/modelchoice.h"
#include "forwarding/internal/requestlimits.h"
#include "forwarding/internal/responsereview.h"
#include "forwarding/internal/retrybudget.h"
#include "forwarding/internal/rolloutplan.h"
#include "forwarding/internal/routematch.h"
#include "forwarding/internal/state.h"
#include "forwarding/internal/streamevent.h"
#include "forwarding/internal/types.h"
#include "forwarding/internal/upstreamchoice.h"
#include "forwarding/internal/upstreamlimit.h"
#include "forwarding/internal/upstreamnotices.h"
