#include "forwarding/tests/fakes.h"

#include <utility>

namespace acaciasail::forwarding::tests {

namespace {

class FakeExchange : public http::Exchange
{
public:
    explicit FakeExchange(std::shared_ptr<FakeSend> send)
        : m_send(std::move(send))
    {}
    FakeExchange(const FakeExchange &) = delete;
    FakeExchange &operator=(const FakeExchange &) = delete;
    ~FakeExchange() override { m_send->cancelled = true; }
    void pauseReading(bool pause) override { m_send->paused = pause; }

private:
    std::shared_ptr<FakeSend> m_send;
};

ForwarderCallbacks makeCallbacks(ForwarderFixture &fixture)
{
    ForwarderCallbacks callbacks;
    callbacks.send = fixture.http.sender();
    callbacks.connect = fixture.http.connector();
    callbacks.wire = makeTestWire();
    callbacks.writeRollout = [&fixture](const Rollout &rollout, const RolloutStep &step) {
        fixture.steps.emplace_back(rollout, step);
    };
    return callbacks;
}

ForwardingOptions makeOptions()
{
    ForwardingOptions options;
    options.vm = kernel::VmId("vm-1");
    options.dataCentre = kernel::DataCentreId("dc-1");
    options.retries = { 0.9, 500, std::chrono::seconds(10) };
    return options;
}

Route makeRoute(const std::string &name, RequestKind kind, int attempts)
{
    Route route;
    route.name = RouteName(name);
    route.host = "site.example";
    route.pathPrefix = "/" + name + "/";
    route.kind = kind;
    route.maxAttempts = attempts;
    route.timeout = std::chrono::seconds(5);
    route.latencyObjective = std::chrono::milliseconds(500);
    route.services.push_back(
        { kernel::ServiceName(kind == RequestKind::Streaming ? "engines" : "plain"), 1 });
    return route;
}

} // namespace

void FakeSend::respond(int status, std::string_view text)
{
    // The real client may release the handlers during a call, so the test calls copies of them.
    const http::ClientHandlers handlersCopy = handlers;
    handlersCopy.onSent();
    const bool isStream
        = status < 400
          && (request.path.starts_with("/chat/") || request.path.starts_with("/once/"));
    http::Headers headers{ { "proof", "p" } };
    std::string body(text);
    if (isStream) {
        headers.push_back({ "events", "1" });
        body = "id: 1\ndata: " + body + "\n\n";
    }
    handlersCopy.onHead({ status, headers });
    if (!cancelled && !body.empty())
        handlersCopy.onBody(body);
    if (!cancelled)
        handlersCopy.onEnd(kernel::Done{});
}

HttpSender FakeHttp::sender()
{
    return [this](const http::ClientRequest &request, http::ClientHandlers handlers) {
        sends.push_back(std::make_shared<FakeSend>(FakeSend{ request, std::move(handlers) }));
        return std::make_unique<FakeExchange>(sends.back());
    };
}

void FakeResponder::send(int code, const http::Headers &fields, std::string_view text)
{
    status = code;
    headers = fields;
    body = text;
    ended = true;
}

void FakeResponder::start(int code, const http::Headers &fields)
{
    status = code;
    headers = fields;
}

void FakeResponder::finish()
{
    ended = true;
}

void FakeResponder::abort()
{
    aborted = true;
    ended = true;
}

std::string FakeResponder::header(std::string_view name) const
{
    return std::string(http::findHeader(headers, name).value_or(""));
}

Connector FakeHttp::connector()
{
    return [this](const kernel::Endpoint &endpoint, kernel::Duration,
                  kernel::Callback<kernel::Done> callback) {
        connects.push_back({ endpoint, std::move(callback) });
        return std::make_unique<http::Exchange>();
    };
}

UpstreamWireFormat makeTestWire()
{
    UpstreamWireFormat wire;
    wire.encode = [](const Request &request, const AttemptContext &context) {
        http::ClientRequest result;
        result.endpoint = context.endpoint;
        result.method = request.method;
        result.path = request.target;
        result.body = request.body;
        result.maxIdle = context.maxIdle;
        result.headers = request.headers;
        result.headers.push_back({ "upstream", context.upstream.str() });
        result.headers.push_back({ "workspace", context.workspace.str() });
        result.headers.push_back({ "model", context.model });
        result.headers.push_back(
            { "left", std::to_string(kernel::toMilliseconds(context.timeLeft)) });
        if (context.resumeAfter)
            result.headers.push_back({ "resume", std::to_string(context.resumeAfter->count()) });
        return result;
    };
    wire.decodeHead = [](const http::ClientHead &head) {
        ResponseHead result;
        result.status = head.status;
        result.headers = head.headers;
        result.notRun = http::findHeader(head.headers, "not-run").has_value();
        result.wrongUpstream = head.status == 421;
        result.hasProof = http::findHeader(head.headers, "proof").has_value();
        result.isReencoded = http::findHeader(head.headers, "content-encoding").has_value();
        result.isEventStream = http::findHeader(head.headers, "events").has_value();
        result.leaving = http::findHeader(head.headers, "leaving").has_value();
        if (const auto cooldown = http::findHeader(head.headers, "rest"))
            result.cooldown = std::chrono::seconds(std::stoi(std::string(*cooldown)));
        if (const auto limit = http::findHeader(head.headers, "limit"))
            result.limitPerSecond = std::stod(std::string(*limit));
        if (const auto confidence = http::findHeader(head.headers, "confidence"))
            result.confidence = std::stoi(std::string(*confidence));
        return result;
    };
    return wire;
}

ForwarderFixture::ForwarderFixture()
    : forwarder(clock.scheduler(), makeCallbacks(*this), makeOptions(), kernel::Random(1))
{
    clock.advance(std::chrono::seconds(100));
    forwarder.setConfiguration(makeConfiguration(1), kernel::Revision(1));
    forwarder.setUpstreams({});
    forwarder.setStoreReachable(true);
    for (const char *id : { "d1", "d2", "d3" })
        addUpstream(id, "plain");
    for (const char *id : { "e1", "e2", "e3" })
        addUpstream(id, "engines");
}

std::shared_ptr<Configuration> ForwarderFixture::makeConfiguration(std::int64_t number) const
{
    auto configuration = std::make_shared<Configuration>();
    configuration->number = ConfigurationNumber(number);
    configuration->routes
        = { makeRoute("safe", RequestKind::Safe, 2), makeRoute("unsafe", RequestKind::Unsafe, 3),
            makeRoute("chat", RequestKind::Streaming, 3),
            makeRoute("once", RequestKind::Streaming, 3) };
    configuration->routes[2].resumable = true;
    configuration->routes[2].models = { "small", "middle", "large" };
    configuration->workspaces.push_back({ kernel::WorkspaceId("makers"), std::nullopt });
    configuration->keys.emplace("key", 0);
    return configuration;
}

void ForwarderFixture::addUpstream(const std::string &id, const std::string &service,
                                   const std::string &version)
{
    Upstream upstream;
    upstream.id = kernel::UpstreamId(id);
    upstream.service = kernel::ServiceName(service);
    upstream.endpoint = { "10.0.0.1", static_cast<unsigned short>(1000 + id.back()) };
    upstream.dataCentre = kernel::DataCentreId("dc-1");
    upstream.version = SoftwareVersion(version);
    upstream.slots = 4;
    forwarder.setUpstream(upstream);
}

Request ForwarderFixture::request(const std::string &target) const
{
    Request request;
    request.id = kernel::RequestId("r" + std::to_string(lastRequestNumber));
    request.method = "POST";
    request.host = "site.example";
    request.target = target;
    request.key = "key";
    request.arrived = clock.now();
    return request;
}

std::shared_ptr<FakeResponder> ForwarderFixture::sendRequest(const std::string &target,
                                                             const std::string &body)
{
    ++lastRequestNumber;
    Request outgoing = request(target);
    outgoing.body = body;
    if (target.starts_with("/chat/"))
        outgoing.work
            = ModelWork{ "", 100, 100, { { "common", 50 }, { "thing", 40 }, { "own", 10 } } };
    return sendRequest(std::move(outgoing));
}

std::shared_ptr<FakeResponder> ForwarderFixture::sendRequest(Request outgoing)
{
    auto responder = std::make_shared<FakeResponder>();
    forwarder.handle(std::move(outgoing), responder);
    return responder;
}

} // namespace acaciasail::forwarding::tests
