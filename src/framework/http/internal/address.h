#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include "kernel/kernel.h"

namespace acaciasail::http {

/// An IPv4 or IPv6 address in the form of the system's calls.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

/// Converts an endpoint. Errors: InvalidField when the IP number is malformed.
kernel::Result<SocketAddress> toSocketAddress(const kernel::Endpoint &endpoint);

/// Converts an address back; an unknown family gives an empty endpoint.
kernel::Endpoint toEndpoint(const SocketAddress &address);

/// Opens a listening socket; the caller owns the descriptor. Errors: InvalidField, ListenFailed.
kernel::Result<int> openListener(const kernel::Endpoint &endpoint);

} // namespace acaciasail::http
