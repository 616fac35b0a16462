#include "gateway/internal/authentication.h"

#include <algorithm>
#include <string_view>

namespace acaciasail::gateway {

kernel::Result<Identity> authenticate(const http::Headers &headers, const table::Snapshot &snapshot)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = http::findHeader(headers, "authorization");
    if (!header || !header->starts_with(scheme)) {
        return kernel::fail(kernel::ResultCode::MissingCredentials,
                            "header Authorization must be \"Bearer KEY\"");
    }
    // The key is hashed before the lookup, so that the lookup time reveals nothing about the key.
    const std::string digest = kernel::sha256Hex(header->substr(scheme.size()));
    const auto id = snapshot.callersByKey.find(digest);
    const auto caller = id == snapshot.callersByKey.end() ? snapshot.callers.end()
                                                          : snapshot.callers.find(id->second);
    if (caller == snapshot.callers.end()
        || !kernel::equalInConstantTime(caller->second.keySha256, digest))
        return kernel::fail(kernel::ResultCode::UnknownCaller, "no caller has this key");
    const auto workspace = snapshot.workspaces.find(caller->second.workspace);
    if (workspace == snapshot.workspaces.end()) {
        return kernel::fail(kernel::ResultCode::UnknownCaller, "workspace of caller \""
                                                                   + caller->second.id.str()
                                                                   + "\" does not exist");
    }
    return Identity{ caller->second, workspace->second };
}

kernel::Result<table::Rank> resolveRank(const Identity &identity,
                                        std::optional<table::Rank> requested)
{
    const table::Rank highest
        = std::max(identity.caller.highestRank, identity.workspace.highestRank);
    if (!requested)
        return std::max(table::Rank::Normal, highest);
    if (*requested < highest) {
        return kernel::fail(kernel::ResultCode::RankNotAllowed,
                            "caller \"" + identity.caller.id.str()
                                + "\" may not use this service_tier");
    }
    return *requested;
}

} // namespace acaciasail::gateway
