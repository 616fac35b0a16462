#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "http/http.h"

namespace acaciasail::soak {

/// What each caller of a crowd does on its connection. It never closes the connection itself.
struct CrowdBehaviour
{
    /// Sent first.
    std::string opening;
    /// Sent after the opening, repeatedly, up to `repeatedBytes` in all.
    std::string repeated;
    std::size_t repeatedBytes = 0;
    /// Largest number of bytes in one write.
    std::size_t pieceBytes = 1U << 20U;
    /// Time between two writes; zero to write whenever the connection takes bytes.
    kernel::Duration interval{};
    /// Bytes of responses that are read; nothing more is read after these.
    std::size_t readBytes = 0;
};

/// Callers on plain sockets of the test's own, all with the same behaviour.
class Crowd
{
public:
    Crowd(http::EventLoop &loop, const kernel::Endpoint &router, std::size_t size,
          CrowdBehaviour behaviour);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Lets the callers send and read until none makes progress any more, or this time is over.
    void play(kernel::Duration atMost);

private:
    struct Member
    {
        int fd = -1;
        std::size_t sent = 0;
        std::size_t received = 0;
        kernel::Instant nextWriteAt{};
        bool closed = false;
    };

    bool step(Member &member);
    bool send(Member &member);
    bool receive(Member &member);
    std::size_t total() const;

    http::EventLoop &m_loop;
    CrowdBehaviour m_behaviour;
    std::vector<Member> m_members;
};

} // namespace acaciasail::soak
