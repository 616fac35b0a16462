#pragma once

/// Forwards requests to upstreams by route and retries them as far as the kind of each request
/// allows.
///
/// Decisions are free functions over plain structs that take the time and random numbers as
/// arguments. Job runs one request by these decisions; Forwarder holds all requests and the state
/// of the router. The wire format of a deployment stays outside this library: its adapter fills
/// UpstreamWireFormat and passes updates to Forwarder.

#include "forwarding/internal/crashes/crashevidence.h"
#include "forwarding/internal/directory.h"
#include "forwarding/internal/forwarder.h"
#include "forwarding/internal/limits/limitsharing.h"
#include "forwarding/internal/limits/requestlimits.h"
#include "forwarding/internal/limits/retrybudget.h"
#include "forwarding/internal/limits/upstreamlimit.h"
#include "forwarding/internal/limits/upstreamnotices.h"
#include "forwarding/internal/placement/costestimate.h"
#include "forwarding/internal/placement/engineload.h"
#include "forwarding/internal/placement/finishchoice.h"
#include "forwarding/internal/placement/firsteventestimate.h"
#include "forwarding/internal/placement/lanes.h"
#include "forwarding/internal/placement/modelchoice.h"
#include "forwarding/internal/placement/promptholders.h"
#include "forwarding/internal/placement/upstreambacklog.h"
#include "forwarding/internal/placement/upstreamchoice.h"
#include "forwarding/internal/placement/workreport.h"
#include "forwarding/internal/queueing/servicequeue.h"
#include "forwarding/internal/request/attemptstate.h"
#include "forwarding/internal/request/eventsplitter.h"
#include "forwarding/internal/request/inactivitytimeout.h"
#include "forwarding/internal/request/job.h"
#include "forwarding/internal/request/routematch.h"
#include "forwarding/internal/request/streamevent.h"
#include "forwarding/internal/rollouts/responsereview.h"
#include "forwarding/internal/rollouts/rolloutplan.h"
#include "forwarding/internal/state.h"
#include "forwarding/internal/types.h"
