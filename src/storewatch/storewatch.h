#pragma once

/// Follows the objects of a store that this process does not run: lists them, watches for changes,
/// and bounds the age of what is known whatever gets lost on the way.
///
/// The store's wire format stays outside: an adapter supplies a StoreReader.

#include "storewatch/internal/kindmirror.h"
#include "storewatch/internal/kindwatcher.h"
#include "storewatch/internal/relayselection.h"
#include "storewatch/internal/restorationhold.h"
#include "storewatch/internal/seenpositions.h"
#include "storewatch/internal/storereader.h"
#include "storewatch/internal/watchcoordinator.h"
