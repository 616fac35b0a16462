#pragma once

#include "externals/internal/httpplatform.h"

namespace acaciasail::externals {

/// Begins a watch over HTTP; it ends when the handle goes.
WatchHandle startWatch(http::Client &client, const kernel::Scheduler &scheduler,
                       const PlatformOptions &options, const std::string &prefix,
                       kernel::Revision after, WatchHandlers handlers);

} // namespace acaciasail::externals
