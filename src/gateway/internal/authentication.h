#pragma once

#include "http/http.h"
#include "kernel/kernel.h"
#include "table/table.h"

namespace acaciasail::gateway {

/// The authenticated caller: its row and the row of its workspace.
struct Identity
{
    table::CallerRow caller;
    table::WorkspaceRow workspace;
};

/// Authenticates the caller by the bearer key of the request.
/// Errors: MissingCredentials, UnknownCaller.
kernel::Result<Identity> authenticate(const http::Headers &headers,
                                      const table::Snapshot &snapshot);

/// Returns the rank of a request: the requested rank, or else the default rank, lowered to the
/// highest allowed rank. Errors: RankNotAllowed if the requested rank is not allowed.
kernel::Result<table::Rank> resolveRank(const Identity &identity,
                                        std::optional<table::Rank> requested);

} // namespace acaciasail::gateway
