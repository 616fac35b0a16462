#include "forwarding/internal/request/routematch.h"

#include <algorithm>
#include <string>

namespace acaciasail::forwarding {

namespace {

std::string hostName(std::string_view host)
{
    return http::lowerCase(host.substr(0, host.find(':')));
}

} // namespace

const Route *matchRoute(const Configuration &configuration, std::string_view host,
                        std::string_view target)
{
    const std::string name = hostName(host);
    const std::string_view path = target.substr(0, target.find('?'));
    const Route *best = nullptr;
    for (const Route &route : configuration.routes) {
        if (!path.starts_with(route.pathPrefix) || hostName(route.host) != name)
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const Workspace *findWorkspaceByKey(const Configuration &configuration, std::string_view key)
{
    const auto found = configuration.keys.find(key);
    return found == configuration.keys.end() ? nullptr : &configuration.workspaces[found->second];
}

const kernel::ServiceName *pickService(const Route &route, double point)
{
    std::int64_t total = 0;
    for (const ServiceShare &share : route.services)
        total += std::max<std::int64_t>(share.weight, 0);
    if (total == 0)
        return nullptr;
    double left = point * static_cast<double>(total);
    for (const ServiceShare &share : route.services) {
        left -= static_cast<double>(std::max<std::int64_t>(share.weight, 0));
        if (left < 0)
            return &share.service;
    }
    return &route.services.back().service;
}

double hashToUnitInterval(std::string_view text)
{
    constexpr int mantissaBits = 53;
    return static_cast<double>(kernel::hash64(text) >> (64 - mantissaBits)) * 0x1.0p-53;
}

} // namespace acaciasail::forwarding
