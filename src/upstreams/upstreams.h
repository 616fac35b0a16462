#pragma once

/// Runs requests at upstreams, with streaming, retries, resumption and the refusal of poison
/// requests. Also polls the engines' load, cache events and state, and sends them orders. Only this
/// library knows the engines' wire format.

#include "upstreams/internal/adaptors.h"
#include "upstreams/internal/dispatcher.h"
#include "upstreams/internal/engineevent.h"
#include "upstreams/internal/job.h"
#include "upstreams/internal/retrypolicy.h"
#include "upstreams/internal/sseparser.h"
#include "upstreams/internal/streamassembler.h"
