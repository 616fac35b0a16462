#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gateway/internal/serviceflow.h"

using namespace acaciasail;
using namespace acaciasail::gateway;

namespace {

constexpr std::chrono::seconds patience{ 5 };

// Returns the target that a service gets for one that a caller sent over a connection.
std::string passedOn(const std::string &target)
{
    table::Snapshot snapshot;
    const kernel::ServiceName name("app");
    snapshot.services[name] = { .id = name };
    Identity identity;
    identity.workspace.services = { name };
    http::EventLoop loop;
    std::string result;
    const auto server = kernel::capture([&] {
        return http::Server::listen(
            loop, { .listen = { "127.0.0.1", 0 } },
            [&](const http::ServerRequest &request, const auto &responder) {
                const auto call = kernel::capture([&] {
                    return readServiceCall(request, kernel::RequestId("r"), identity, snapshot, {});
                });
                result = call.ok() ? call.value().target : call.error().message;
                responder->send(200, {}, "");
            });
    });
    http::Client client(loop);
    http::ClientRequest request{ .endpoint = server.value()->endpoint() };
    request.path = target;
    bool done = false;
    client.fetch(request, [&](const auto &) { done = true; });
    loop.runUntil([&] { return done; }, patience);
    return result;
}

} // namespace

TEST(ServiceCall, GoesToTheTargetThatTheCallerWrote)
{
    for (const std::string target :
         { "/services/app/a", "/services/app/a%20b?c=d%20e", "/services/app/a%2Fb",
           "/services/app/%3Fa%23b", "/services/app/a%0D%0Ax:%20y", "/services/app/%C3%BC%FF?",
           "/services/other/../app/a" })
        EXPECT_EQ(passedOn(target), target);
}

TEST(ServiceCall, IsOfTheServiceThatItsNormalisedPathNames)
{
    EXPECT_EQ(passedOn("/services/app/../other/a"), "unknown service \"other\"");
    EXPECT_EQ(passedOn("/services/app/%2e%2e/other/a"), "unknown service \"other\"");
}
