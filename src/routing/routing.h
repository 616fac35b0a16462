#pragma once

/// Routing: which version answers a request, and which upstream runs it.
///
/// The library consists of decision functions over plain structs. The state (the table's rows,
/// ratings, evidence about roll-outs, the state of upstreams), the time and random numbers are
/// arguments; the decision and its reason are returned. Observations are recorded by functions
/// whose names start with `record`, one observation per call. Besides these only
/// syncUpstreams(), mergeEvidence() and removeFinishedRollouts() change a struct.

#include "routing/internal/cascade.h"
#include "routing/internal/evidence.h"
#include "routing/internal/facts.h"
#include "routing/internal/quality.h"
#include "routing/internal/rollouts.h"
#include "routing/internal/sessions.h"
#include "routing/internal/subset.h"
#include "routing/internal/upstreamchoice.h"
#include "routing/internal/upstreampool.h"
#include "routing/internal/versionchoice.h"
