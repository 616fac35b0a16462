#pragma once

#include "world.h"

namespace acaciasail::soak {

/// Sends requests that crash each runner that begins to run them, again and again at any router,
/// and notes those that routers pass on though they must know them.
class CrashingRequests
{
public:
    CrashingRequests(http::EventLoop &loop, World &world, kernel::Random random);
    ~CrashingRequests();
    CrashingRequests(const CrashingRequests &) = delete;
    CrashingRequests &operator=(const CrashingRequests &) = delete;

private:
    // One request that comes again and again with new ids.
    struct Crasher
    {
        std::string path;
        std::string body;
        std::size_t firstRouter = 0;
        kernel::Instant until{};
        int crashes = 0;
        kernel::Instant thirdCrash{};
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
    // Where each request was sent.
    std::map<std::string, std::size_t> m_routers;
    kernel::Timer m_next;
};

} // namespace acaciasail::soak
