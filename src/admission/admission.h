#pragma once

/// Admission control: decides which requests start, wait or are refused, and in what order they
/// start.
///
/// The library contains priority ranks, each with a guaranteed minimum fraction of the capacity
/// (its floor), fair queueing by workspace and caller, rate and concurrency limits that are shared
/// between daemons, and the adaptive concurrency limit of an upstream. All state is passed in as
/// plain structs and the current time as an argument; the library uses no clock and opens no
/// socket.

#include "admission/internal/admission.h"
#include "admission/internal/concurrencylimit.h"
#include "admission/internal/sharedlimit.h"
#include "admission/internal/types.h"
