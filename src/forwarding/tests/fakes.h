#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "forwarding/forwarding.h"

namespace acaciasail::forwarding::tests {

/// One request sent to an upstream; the test supplies the response.
struct FakeSend
{
    http::ClientRequest request;
    http::ClientHandlers handlers;
    bool cancelled = false;
    bool paused = false;

    void reportSent() { handlers.onSent(); }
    void head(int status, const http::Headers &headers = {})
    {
        handlers.onHead({ status, headers });
    }
    void body(std::string_view piece) { handlers.onBody(piece); }
    void complete() { handlers.onEnd(kernel::Done{}); }
    void fail(kernel::ResultCode code) { handlers.onEnd(kernel::Error{ code, "test" }); }
    /// Gives a complete response with the proof header; a success on a streaming route is a stream
    /// of one event.
    void respond(int status, std::string_view text);
};

/// One connection opened without a request; the test supplies its outcome.
struct FakeConnect
{
    kernel::Endpoint endpoint;
    kernel::Callback<kernel::Done> callback;

    void succeed() { callback(kernel::Done{}); }
    void fail(kernel::ResultCode code = kernel::ResultCode::UpstreamConnectFailed)
    {
        callback(kernel::Error{ code, "test" });
    }
};

/// Records the requests and connections of the forwarder.
class FakeHttp
{
public:
    HttpSender sender();
    Connector connector();
    FakeSend &last() { return *sends.back(); }
    std::vector<std::shared_ptr<FakeSend>> sends;
    std::vector<FakeConnect> connects;
};

/// Records the response that a caller got.
class FakeResponder : public http::Responder
{
public:
    void send(int code, const http::Headers &fields, std::string_view text) override;
    void start(int code, const http::Headers &fields) override;
    void write(std::string_view piece) override { body += piece; }
    void finish() override;
    void abort() override;
    std::size_t queuedBytes() const override { return queued; }
    void whenDrained(std::function<void()> function) override { onDrained = std::move(function); }
    void whenClosed(std::function<void()> function) override { onClosed = std::move(function); }
    bool closed() const override { return ended; }
    bool hasCallerLeft() const override { return left; }

    std::string header(std::string_view name) const;

    int status = 0;
    http::Headers headers;
    std::string body;
    bool ended = false;
    bool aborted = false;
    /// The caller has closed its connection, and the job was not told yet.
    bool left = false;
    std::size_t queued = 0;
    std::function<void()> onDrained;
    std::function<void()> onClosed;
};

/// Wire format of the tests: each value is sent in a header of the same name.
UpstreamWireFormat makeTestWire();

/// Forwarder with a manual clock, one route of each kind, and upstreams for the routes.
struct ForwarderFixture
{
    ForwarderFixture();
    ForwarderFixture(const ForwarderFixture &) = delete;
    ForwarderFixture &operator=(const ForwarderFixture &) = delete;

    std::shared_ptr<Configuration> makeConfiguration(std::int64_t number) const;
    void addUpstream(const std::string &id, const std::string &service,
                     const std::string &version = "v1");
    /// Sends a request for a path with the test workspace's key.
    std::shared_ptr<FakeResponder> sendRequest(const std::string &target,
                                               const std::string &body = "");
    std::shared_ptr<FakeResponder> sendRequest(Request request);
    Request request(const std::string &target) const;

    kernel::ManualScheduler clock;
    FakeHttp http;
    std::vector<std::pair<Rollout, RolloutStep>> steps;
    Forwarder forwarder;
    int lastRequestNumber = 0;
};

} // namespace acaciasail::forwarding::tests
