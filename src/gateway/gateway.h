#pragma once

/// The gateway processes requests from callers end to end: it validates, admits, routes, runs,
/// bills and answers them. The gateway also provides the operators' interface, which has its own
/// listener.

#include "gateway/internal/adminapi.h"
#include "gateway/internal/gateway.h"
#include "gateway/internal/options.h"
