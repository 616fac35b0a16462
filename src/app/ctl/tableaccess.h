#pragma once

#include "ctl/session.h"
#include "table/table.h"

namespace acaciasail::ctl {

/// The table as it stands in the store.
kernel::Completion<table::StoredTable> readTable(Session &session);

/// A fresh id for an edit.
kernel::EditId newEditId();

} // namespace acaciasail::ctl
