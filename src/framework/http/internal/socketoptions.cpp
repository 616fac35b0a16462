#include "http/internal/socketoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace acaciasail::http {

namespace {

constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr unsigned int unacknowledgedMilliseconds = 3000;
constexpr int receiveBufferBytes = 64 << 10;
constexpr int callerReceiveBytes = 32 << 10;
constexpr int callerSendBytes = 128 << 10;
// Retransmissions, or zero-window probes, without an answer after which a peer counts as gone.
constexpr int unansweredRepeats = 3;
constexpr int unansweredProbes = 2;

void setKeepAlive(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof keepAliveIdleSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds,
               sizeof keepAliveIntervalSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
}

bool readTcpInfo(int fd, tcp_info &info)
{
    socklen_t length = sizeof info;
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
}

} // namespace

void setConnectionTimeouts(int fd)
{
    setKeepAlive(fd);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds,
               sizeof unacknowledgedMilliseconds);
}

void setCallerTimeouts(int fd)
{
    tcp_info info{};
    if (readTcpInfo(fd, info))
        setKeepAlive(fd);
    else
        setConnectionTimeouts(fd);
}

bool isPeerGone(int fd)
{
    tcp_info info{};
    if (!readTcpInfo(fd, info) || info.tcpi_last_ack_recv < unacknowledgedMilliseconds)
        return false;
    return info.tcpi_retransmits >= unansweredRepeats || info.tcpi_probes >= unansweredProbes;
}

bool isClosedBothWays(int fd)
{
    pollfd connection{ fd, 0, 0 };
    return poll(&connection, 1, 0) > 0 && (connection.revents & POLLHUP) != 0;
}

void limitCallerBuffers(int fd)
{
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &callerReceiveBytes, sizeof callerReceiveBytes);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &callerSendBytes, sizeof callerSendBytes);
}

void limitReceiveBuffer(int fd)
{
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
}

void resetNow(int fd)
{
    // POSIX lets connect() with an unspecified address dissolve a connection.
    const sockaddr unspecified{ .sa_family = AF_UNSPEC, .sa_data = {} };
    (void) connect(fd, &unspecified, sizeof unspecified);
}

void resetOnClose(int fd)
{
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace acaciasail::http
