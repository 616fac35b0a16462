#pragma once

/// Forwarding requests to upstreams by routes, with at most the repeats that their kind allows.
///
/// Decisions are free functions over plain structs; time and random numbers come in as arguments.
/// Job runs one request by them, Forwarder holds all requests and what the daemon knows. The wire
/// form of a deployment stays outside: its adapter fills UpstreamWire and feeds the Forwarder.

#include "forwarding/internal/answerreview.h"
#include "forwarding/internal/attemptstate.h"
#include "forwarding/internal/crashevidence.h"
#include "forwarding/internal/directory.h"
#include "forwarding/internal/engineload.h"
#include "forwarding/internal/eventsplitter.h"
#include "forwarding/internal/forwarder.h"
#include "forwarding/internal/job.h"
#include "forwarding/internal/lanes.h"
#include "forwarding/internal/modelchoice.h"
#include "forwarding/internal/patience.h"
#include "forwarding/internal/retrybudget.h"
#include "forwarding/internal/rolloutplan.h"
#include "forwarding/internal/routematch.h"
#include "forwarding/internal/state.h"
#include "forwarding/internal/types.h"
#include "forwarding/internal/upstreamchoice.h"
#include "forwarding/internal/upstreamnotices.h"
