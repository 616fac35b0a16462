#pragma once

#include <string>

#include "admission/admission.h"

namespace acaciasail::admission::tests {

inline const PoolId pool{ "models" };

/// Returns the instant that many milliseconds after the start of a test.
inline kernel::Instant at(std::int64_t milliseconds)
{
    return kernel::Instant{} + std::chrono::milliseconds(milliseconds);
}

/// Returns a table with workspaces w0, w1, ... and their callers w0c0, w0c1, ...
inline table::Snapshot makeSnapshot(int workspaces, int callersEach)
{
    table::Snapshot snapshot;
    for (int w = 0; w < workspaces; ++w) {
        const kernel::WorkspaceId workspace("w" + std::to_string(w));
        snapshot.workspaces[workspace] = { .id = workspace };
        for (int c = 0; c < callersEach; ++c) {
            const kernel::CallerId caller(workspace.str() + "c" + std::to_string(c));
            snapshot.callers[caller] = { .id = caller, .workspace = workspace };
        }
    }
    return snapshot;
}

inline AdmissionRequest makeAdmissionRequest(std::int64_t number, int workspace, int caller,
                                             table::Rank rank, std::int64_t tokens,
                                             kernel::Instant now)
{
    const std::string owner = "w" + std::to_string(workspace);
    return AdmissionRequest{ .request = kernel::RequestId("r" + std::to_string(number)),
                             .workspace = kernel::WorkspaceId(owner),
                             .caller = kernel::CallerId(owner + "c" + std::to_string(caller)),
                             .pool = pool,
                             .rank = rank,
                             .estimate = kernel::Tokens(tokens),
                             .arrived = now };
}

} // namespace acaciasail::admission::tests
