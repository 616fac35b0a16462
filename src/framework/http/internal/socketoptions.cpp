#include "http/internal/socketoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace acaciasail::http {

namespace {

constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr unsigned int unacknowledgedMilliseconds = 3000;
constexpr int receiveBufferBytes = 64 << 10;

} // namespace

void setConnectionTimeouts(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof keepAliveIdleSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds,
               sizeof keepAliveIntervalSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds,
               sizeof unacknowledgedMilliseconds);
}

void limitReceiveBuffer(int fd)
{
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
}

void resetOnClose(int fd)
{
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace acaciasail::http
