#pragma once

/// Runs requests at upstreams: streams, retries, resumption, poison requests, and the engines'
/// load, cache events and orders. Only this library knows the engines' wire format.

#include "upstreams/internal/adaptors.h"
#include "upstreams/internal/dispatcher.h"
#include "upstreams/internal/engineevent.h"
#include "upstreams/internal/job.h"
#include "upstreams/internal/retrypolicy.h"
#include "upstreams/internal/sseparser.h"
#include "upstreams/internal/streamassembler.h"
