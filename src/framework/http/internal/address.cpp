#include "http/internal/address.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>

#include <unistd.h>

namespace acaciasail::http {

namespace {

constexpr int listenBacklog = 4096;

} // namespace

kernel::Result<SocketAddress> toSocketAddress(const kernel::Endpoint &endpoint)
{
    SocketAddress address;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address.storage);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in);
        return address;
    }
    if (inet_pton(AF_INET6, endpoint.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in6);
        return address;
    }
    return kernel::fail(kernel::ResultCode::InvalidField,
                        "\"" + endpoint.ip + "\" is not an IP number");
}

kernel::Endpoint toEndpoint(const SocketAddress &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.storage.ss_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(&address.storage);
        inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        return { text.data(), ntohs(v4->sin_port) };
    }
    if (address.storage.ss_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&address.storage);
        inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        return { text.data(), ntohs(v6->sin6_port) };
    }
    return {};
}

kernel::Result<int> openListener(const kernel::Endpoint &endpoint)
{
    auto address = toSocketAddress(endpoint);
    if (!address)
        return address.error();
    const int fd
        = socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    kernel::ScopeGuard closeFd([fd] {
        if (fd >= 0)
            close(fd);
    });
    const int on = 1;
    if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
        || bind(fd, address->get(), address->length) != 0 || listen(fd, listenBacklog) != 0) {
        return kernel::fail(kernel::ResultCode::ListenFailed,
                            "can't listen on " + kernel::toString(endpoint));
    }
    closeFd.dismiss();
    return fd;
}

} // namespace acaciasail::http
