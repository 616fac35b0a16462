#pragma once

/// Coordinates the daemons of a deployment: cluster membership without consensus, dissemination of
/// the operators' table from the store to all daemons, and state that all daemons share (topics).

#include "peers/internal/member.h"
#include "peers/internal/options.h"
#include "peers/internal/overlay.h"
#include "peers/internal/peers.h"
#include "peers/internal/rows.h"
#include "peers/internal/topic.h"
