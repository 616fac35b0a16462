#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "http/http.h"
#include "kernel/kernel.h"
#include "settings/settings.h"

namespace acaciasail::daemon {

/// All settings of a daemon; docs/operators/SETTINGS.md explains each.
struct DaemonSettings
{
    kernel::VmId vm;
    kernel::DataCentreId dataCentre;
    kernel::EventLogOptions log;

    kernel::Endpoint callersListen;
    std::optional<http::TlsFiles> callersTls;
    std::size_t maxBodyBytes = 0;
    std::size_t maxConnections = 0;
    kernel::Duration requestTimeout{};
    std::string sessionSecret;
    std::size_t upstreamSubsetSize = 0;

    kernel::Endpoint adminListen;

    kernel::Endpoint peersListen;
    std::optional<http::TlsFiles> peersTls;
    std::vector<kernel::Endpoint> peerSeeds;

    kernel::Endpoint platform;
    /// Longest time that a shutdown waits for requests in progress.
    kernel::Duration drainTimeout{};
};

/// Settings as read, with every mistake in them.
struct CheckedSettings
{
    DaemonSettings settings;
    std::vector<settings::Mistake> mistakes;
};

/// Reads a settings file. Errors: SettingsUnreadable.
kernel::Result<CheckedSettings> readDaemonSettings(const std::string &file);

/// Reads settings from an opened file.
CheckedSettings readDaemonSettings(settings::Reader &reader);

} // namespace acaciasail::daemon
