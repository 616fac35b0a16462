#pragma once

#include "world.h"

namespace acaciasail::soak {

/// Repeatedly sends requests that crash each runner that starts to run them, and records those that
/// routers still forward after the time in which they must have recognised the request, or the part
/// that the prompts of unlike requests share.
class CrashingRequests
{
public:
    CrashingRequests(http::EventLoop &loop, World &world, kernel::Random random);
    ~CrashingRequests();
    CrashingRequests(const CrashingRequests &) = delete;
    CrashingRequests &operator=(const CrashingRequests &) = delete;

private:
    // A request that is sent repeatedly, each time with a new id, or unlike requests with a common
    // prompt part.
    struct Crasher
    {
        std::string path;
        // Beginning of the bodies; the whole body of a request that is repeated.
        std::string body;
        bool isPart = false;
        std::size_t firstRouter = 0;
        kernel::Instant until{};
        int crashes = 0;
        // Number of crashes after which routers must recognise it, and when the last of them came.
        int crashesToKnow = 0;
        kernel::Instant knowableAt{};
        int laterCrashes = 0;
    };

    void next();
    void begin();
    void ask();
    void onCrash(const std::string &request, const std::string &body);

    http::EventLoop &m_loop;
    World &m_world;
    http::Client m_client;
    kernel::Random m_random;
    int m_lastRequest = 0;
    Crasher m_crasher;
    int m_crashers = 0;
    // The router that each request was sent to, by the request's id.
    std::map<std::string, std::size_t> m_routers;
    kernel::Timer m_next;
};

} // namespace acaciasail::soak
