#include "upstreams/internal/dispatcher.h"

#include <utility>

#include "upstreams/internal/jobrun.h"

namespace acaciasail::upstreams {

namespace {

/// Maximum number of requests whose evidence is sent to the peers in one message.
constexpr std::size_t maxRequestsPerPoisonMessage = 64;

/// Handle of a job run, owned by the caller. Destroying the handle cancels the run.
class JobHandle : public Job
{
public:
    explicit JobHandle(std::shared_ptr<JobRun> run)
        : m_run(std::move(run))
    {}
    JobHandle(const JobHandle &) = delete;
    JobHandle &operator=(const JobHandle &) = delete;
    ~JobHandle() override { m_run->cancel(); }

private:
    std::shared_ptr<JobRun> m_run;
};

} // namespace

struct Dispatcher::Impl
{
    using ProbeCallback = std::function<void(bool crashed)>;

    /// A probe in flight, with the callbacks that wait for its result.
    struct Probe
    {
        std::unique_ptr<http::Exchange> exchange;
        kernel::Timer timer;
        std::vector<ProbeCallback> callbacks;
    };

    void probe(const Target &target, ProbeCallback callback);
    void endProbe(const kernel::UpstreamId &upstream, bool crashed);
    void destroyLater(std::unique_ptr<http::Exchange> exchange);

    RunContext context;
    std::unordered_map<kernel::UpstreamId, Probe> probes;
    std::unordered_map<std::string, std::unique_ptr<http::Exchange>> drainingExchanges;
    std::vector<std::unique_ptr<http::Exchange>> exchangesToDestroy;
    kernel::Timer destructionTimer;
};

void Dispatcher::Impl::probe(const Target &target, ProbeCallback callback)
{
    Probe &probe = probes[target.upstream];
    probe.callbacks.push_back(std::move(callback));
    if (probe.callbacks.size() > 1)
        return;
    http::ClientRequest request;
    request.endpoint = target.endpoint;
    request.path = "/v1/load";
    request.connectTimeout = context.options.probeTimeout;
    request.idleTimeout = context.options.probeTimeout;
    const kernel::UpstreamId upstream = target.upstream;
    http::ClientHandlers handlers;
    handlers.onEnd = [this, upstream](const kernel::Completion<kernel::Done> &end) {
        const bool crashed = !end.ok()
                             && (end.error().code == kernel::ResultCode::UpstreamConnectFailed
                                 || end.error().code == kernel::ResultCode::UpstreamBroken);
        endProbe(upstream, crashed);
    };
    probe.exchange = context.send(request, std::move(handlers));
}

void Dispatcher::Impl::endProbe(const kernel::UpstreamId &upstream, bool crashed)
{
    const auto found = probes.find(upstream);
    if (found == probes.end())
        return;
    Probe probe = std::move(found->second);
    probes.erase(found);
    destroyLater(std::move(probe.exchange));
    for (const ProbeCallback &callback : probe.callbacks)
        callback(crashed);
}

void Dispatcher::Impl::destroyLater(std::unique_ptr<http::Exchange> exchange)
{
    if (!exchange)
        return;
    exchangesToDestroy.push_back(std::move(exchange));
    if (exchangesToDestroy.size() == 1) {
        destructionTimer = kernel::Timer(*context.scheduler, kernel::Duration::zero(),
                                         [this] { exchangesToDestroy.clear(); });
    }
}

Dispatcher::Dispatcher(const kernel::Scheduler &scheduler, HttpSender sender, kernel::Random random,
                       DispatcherOptions options, DispatcherHooks hooks)
    : m_impl(std::make_unique<Impl>())
{
    Impl *impl = m_impl.get();
    RunContext &context = impl->context;
    context.scheduler = &scheduler;
    context.send = std::move(sender);
    context.options = options;
    context.hooks = std::move(hooks);
    context.budget = options.retryBudget;
    context.random = random;
    context.probe = [impl](const Target &target, Impl::ProbeCallback callback) {
        impl->probe(target, std::move(callback));
    };
    context.drainResponse
        = [impl](const std::string &id, std::unique_ptr<http::Exchange> exchange) {
              impl->drainingExchanges[id] = std::move(exchange);
          };
    context.endDraining = [impl](const std::string &id) {
        const auto found = impl->drainingExchanges.find(id);
        if (found == impl->drainingExchanges.end())
            return;
        impl->destroyLater(std::move(found->second));
        impl->drainingExchanges.erase(found);
    };
    context.destroyLater = [impl](std::unique_ptr<http::Exchange> exchange) {
        impl->destroyLater(std::move(exchange));
    };
}

Dispatcher::~Dispatcher() = default;

std::unique_ptr<Job> Dispatcher::run(JobSpec spec, JobHandlers handlers)
{
    auto run = std::make_shared<JobRun>(m_impl->context, std::move(spec), std::move(handlers));
    run->start();
    return std::make_unique<JobHandle>(std::move(run));
}

int Dispatcher::inFlight(const kernel::UpstreamId &upstream) const
{
    const auto &upstreams = m_impl->context.inFlight.upstreams;
    const auto found = upstreams.find(upstream);
    return found == upstreams.end() ? 0 : found->second.attempts;
}

int Dispatcher::inFlight() const
{
    return m_impl->context.inFlight.totalAttempts;
}

std::string Dispatcher::encodePoison() const
{
    return encode(m_impl->context.poison, maxRequestsPerPoisonMessage);
}

kernel::Result<void> Dispatcher::mergePoison(std::string_view bytes)
{
    poison::PoisonEvidenceSet &book = m_impl->context.poison;
    auto changed = merge(book, bytes);
    if (!changed)
        return changed.error();
    expire(book, m_impl->context.scheduler->wallNow());
    return {};
}

const poison::PoisonEvidenceSet &Dispatcher::poisonEvidence() const
{
    return m_impl->context.poison;
}

} // namespace acaciasail::upstreams
