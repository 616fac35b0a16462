#pragma once

/// Bills, each kept exactly once whatever daemon is lost, and claims on idempotency keys, so that a
/// request that may not be repeated runs at most once.

#include "ledger/internal/billrecord.h"
#include "ledger/internal/bills.h"
#include "ledger/internal/billtypes.h"
#include "ledger/internal/claims.h"
#include "ledger/internal/claimtypes.h"
#include "ledger/internal/environment.h"
#include "ledger/internal/holders.h"
