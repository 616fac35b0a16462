#include "daemon/daemonsettings.h"

#include <utility>

namespace acaciasail::daemon {

namespace {

constexpr std::int64_t mebibyte = 1 << 20;
constexpr std::int64_t dayMilliseconds = 24LL * 3600 * 1000;
constexpr std::size_t leastSecretBytes = 16;

std::optional<http::TlsFiles> readTls(settings::Reader &reader, const std::string &section)
{
    http::TlsFiles files;
    files.certificateFile = reader.text(section + ".tls_certificate", "");
    files.keyFile = reader.text(section + ".tls_key", "");
    files.authorityFile = reader.text(section + ".tls_authority", "");
    if (files.certificateFile.empty() != files.keyFile.empty())
        reader.reject(section + ".tls_certificate", "tls_certificate and tls_key go together");
    if (files.certificateFile.empty()) {
        if (!files.authorityFile.empty())
            reader.reject(section + ".tls_authority", "needs tls_certificate and tls_key");
        return std::nullopt;
    }
    return files;
}

kernel::EventLevel readLevel(settings::Reader &reader)
{
    const std::string level = reader.text("log.level", "info");
    if (level == "debug")
        return kernel::EventLevel::Debug;
    if (level == "warn")
        return kernel::EventLevel::Warn;
    if (level == "error")
        return kernel::EventLevel::Error;
    if (level != "info")
        reader.reject("log.level", "must be debug, info, warn or error");
    return kernel::EventLevel::Info;
}

void readLog(settings::Reader &reader, DaemonSettings &settings)
{
    settings.log.file = reader.text("log.file", "");
    settings.log.level = readLevel(reader);
    settings.log.recentLines
        = static_cast<std::size_t>(reader.integer("log.recent_lines", 4096, { 0, 1'000'000 }));
    settings.log.vm = settings.vm.str();
}

void readCallers(settings::Reader &reader, DaemonSettings &settings)
{
    settings.callersListen = reader.requiredEndpoint("callers.listen");
    settings.callersTls = readTls(reader, "callers");
    settings.maxBodyBytes = static_cast<std::size_t>(
        reader.integer("callers.max_body_bytes", 8 * mebibyte, { 1024, 64 * mebibyte }));
    settings.maxConnections = static_cast<std::size_t>(
        reader.integer("callers.max_connections", 20000, { 1, 1'000'000 }));
    settings.requestTimeout = reader.milliseconds("callers.request_timeout_ms",
                                                  std::chrono::seconds(30), { 100, 600'000 });
    settings.sessionSecret = reader.requiredText("callers.session_secret");
    if (!settings.sessionSecret.empty() && settings.sessionSecret.size() < leastSecretBytes)
        reader.reject("callers.session_secret", "must have at least 16 bytes");
}

void readPeers(settings::Reader &reader, DaemonSettings &settings)
{
    settings.peersListen = reader.requiredEndpoint("peers.listen");
    settings.peersTls = readTls(reader, "peers");
    settings.peerSeeds = reader.endpoints("peers.seeds");
}

} // namespace

CheckedSettings readDaemonSettings(settings::Reader &reader)
{
    CheckedSettings checked;
    DaemonSettings &settings = checked.settings;
    settings.vm = kernel::VmId(reader.requiredText("vm"));
    settings.dataCentre = kernel::DataCentreId(reader.requiredText("data_centre"));
    readLog(reader, settings);
    readCallers(reader, settings);
    readPeers(reader, settings);
    settings.adminListen = reader.requiredEndpoint("admin.listen");
    settings.platform = reader.requiredEndpoint("platform.address");
    settings.upstreamSubsetSize
        = static_cast<std::size_t>(reader.integer("upstreams.subset", 64, { 2, 10'000 }));
    settings.drainTimeout
        = reader.milliseconds("drain_timeout_ms", std::chrono::minutes(10), { 0, dayMilliseconds });
    checked.mistakes = reader.finish();
    return checked;
}

kernel::Result<CheckedSettings> readDaemonSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(reader, settings::Reader::open(file));
    return readDaemonSettings(reader);
}

} // namespace acaciasail::daemon
