#include "crowds/crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/internal/address.h"

namespace acaciasail::soak {

namespace {

// Writes by one caller before the next one has its turn.
constexpr int writesPerTurn = 64;
// play() ends early if no caller makes progress for this time.
constexpr kernel::Duration restTime = std::chrono::milliseconds(250);

} // namespace

Crowd::Crowd(http::EventLoop &loop, const kernel::Endpoint &router, std::size_t size,
             CrowdBehaviour behaviour)
    : m_loop(loop)
    , m_behaviour(std::move(behaviour))
{
    const auto address = kernel::capture([&] { return http::toSocketAddress(router); });
    for (std::size_t i = 0; i < size; ++i) {
        Member member;
        member.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(member.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        http::SocketAddress target = address.value();
        (void) connect(member.fd, target.get(), target.length);
        m_members.push_back(member);
    }
}

Crowd::~Crowd()
{
    for (const Member &member : m_members)
        close(member.fd);
}

std::size_t Crowd::total() const
{
    return m_behaviour.opening.size() + m_behaviour.repeatedBytes;
}

// Returns whether bytes were sent.
bool Crowd::send(Member &member)
{
    bool any = false;
    const std::size_t openingSize = m_behaviour.opening.size();
    for (int i = 0; i < writesPerTurn && member.sent < total(); ++i) {
        const kernel::Instant now = m_loop.scheduler().now();
        if (now < member.nextWriteAt)
            break;
        std::string_view bytes = m_behaviour.opening;
        if (member.sent < openingSize) {
            bytes.remove_prefix(member.sent);
        } else {
            bytes = m_behaviour.repeated;
            bytes.remove_prefix((member.sent - openingSize) % bytes.size());
            bytes = bytes.substr(0, total() - member.sent);
        }
        bytes = bytes.substr(0, m_behaviour.pieceBytes);
        const ssize_t count
            = ::send(member.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            member.closed = errno != EAGAIN && errno != ENOTCONN && errno != EINTR;
            break;
        }
        any = true;
        member.sent += static_cast<std::size_t>(count);
        member.nextWriteAt = now + m_behaviour.interval;
    }
    return any;
}

bool Crowd::receive(Member &member)
{
    std::array<char, 16384> buffer{};
    const std::size_t wanted = std::min(buffer.size(), m_behaviour.readBytes - member.received);
    if (wanted == 0)
        return false;
    const ssize_t count = recv(member.fd, buffer.data(), wanted, MSG_DONTWAIT);
    if (count <= 0) {
        member.closed = member.closed || count == 0 || (errno != EAGAIN && errno != ENOTCONN);
        return false;
    }
    member.received += static_cast<std::size_t>(count);
    return true;
}

bool Crowd::step(Member &member)
{
    if (member.closed)
        return false;
    const bool hasSent = send(member);
    const bool hasReceived = receive(member);
    return hasSent || hasReceived;
}

void Crowd::play(kernel::Duration atMost)
{
    const kernel::Instant end = m_loop.scheduler().now() + atMost;
    kernel::Instant restsSince = m_loop.scheduler().now();
    for (kernel::Instant now = restsSince; now < end && now - restsSince < restTime;
         now = m_loop.scheduler().now()) {
        bool any = false;
        for (Member &member : m_members)
            any = step(member) || any;
        if (any)
            restsSince = now;
        m_loop.runOnce(any ? kernel::Duration::zero() : std::chrono::milliseconds(2));
    }
}

} // namespace acaciasail::soak
