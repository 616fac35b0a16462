#pragma once

/// The micro-kernel: the general pieces that every other library builds on.
///
/// It holds strong ids and units, time, timers, results and errors, numbered events, change
/// notices, scope guards, hashing, random numbers, and the registry in which modules find each
/// other's services by name. It knows nothing of requests, models or the platform.

#include "kernel/internal/channel.h"
#include "kernel/internal/events.h"
#include "kernel/internal/hash.h"
#include "kernel/internal/ids.h"
#include "kernel/internal/manualscheduler.h"
#include "kernel/internal/module.h"
#include "kernel/internal/random.h"
#include "kernel/internal/result.h"
#include "kernel/internal/resultcodes.h"
#include "kernel/internal/scheduler.h"
#include "kernel/internal/scopeguard.h"
#include "kernel/internal/serviceregistry.h"
#include "kernel/internal/units.h"
