#pragma once

/// Poison requests: requests that crash every upstream that runs them and that callers send again.
/// Routers collect evidence of such crashes and merge the evidence of their peers.

#include "poison/internal/poisonbook.h"
