#pragma once

/// The operators' configuration, in nine tables (TableId): columns and their validation, edits of
/// rows, the merge of all rows received, and the snapshot in force.

#include "table/internal/columns.h"
#include "table/internal/edits.h"
#include "table/internal/references.h"
#include "table/internal/rowcodec.h"
#include "table/internal/rows.h"
#include "table/internal/snapshot.h"
#include "table/internal/storedrow.h"
#include "table/internal/tablestore.h"
#include "table/internal/tablewatcher.h"
