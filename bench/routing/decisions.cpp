#include <benchmark/benchmark.h>

#include "routing/routing.h"

using namespace acaciasail;
using namespace acaciasail::routing;

namespace {

constexpr int versionCount = 30;
constexpr int modelCount = 10;
constexpr int workspaceCount = 10;
constexpr int kindCount = 4;
constexpr int callerCount = 1000;
constexpr std::size_t subsetSize = 64;

/// A fleet with so many upstreams, of which the daemon knows its subset.
struct Scene
{
    explicit Scene(int upstreams);

    RequestFacts factsOf(int number) const;

    table::Snapshot snapshot;
    QualityEstimates quality;
    RolloutEvidenceStore rollouts{ .self = "vm-1#1" };
    UpstreamPool pool;
    std::vector<kernel::UpstreamId> subset;
};

Scene::Scene(int upstreams)
{
    for (int i = 0; i < modelCount; ++i) {
        const kernel::ModelId model("model-" + std::to_string(i));
        snapshot.models[model] = { model };
    }
    std::vector<kernel::VersionId> versions;
    for (int i = 0; i < versionCount; ++i) {
        const kernel::VersionId id("version-" + std::to_string(i));
        versions.push_back(id);
        snapshot.versions[id]
            = { .id = id,
                .model = kernel::ModelId("model-" + std::to_string(i % modelCount)),
                .inputPrice = kernel::MicroCurrency(100'000L * (1 + i)),
                .outputPrice = kernel::MicroCurrency(400'000L * (1 + i)),
                .priorQuality = 0.7 + 0.25 * i / versionCount };
    }
    for (int i = 0; i < workspaceCount; ++i) {
        const kernel::WorkspaceId id("workspace-" + std::to_string(i));
        auto &row = snapshot.workspaces[id];
        row = { .id = id };
        for (int model = 0; model < modelCount; ++model)
            row.models.emplace_back("model-" + std::to_string(model));
        for (const auto &version : versions)
            snapshot.weights[id].push_back({ id, version, 1 });
    }
    for (int i = 0; i < callerCount; ++i) {
        const kernel::CallerId id("caller-" + std::to_string(i));
        snapshot.callers[id] = { .id = id };
    }
    for (int i = 0; i < upstreams; ++i) {
        const kernel::UpstreamId id("runner-" + std::to_string(i));
        snapshot.upstreams[id] = { .id = id, .versions = versions };
    }
    const kernel::RolloutId rollout("rollout");
    snapshot.rollouts[rollout]
        = { .id = rollout, .baseline = versions[0], .candidate = versions[10] };
    table::buildIndexes(snapshot);
    const auto &all = snapshot.upstreamsOfVersion.at(versions[0]);
    subset.assign(all.begin(), all.begin() + subsetSize);
    syncUpstreams(pool, snapshot, subset, {});
    for (int i = 0; i < workspaceCount * kindCount; ++i)
        recordChoice(quality, snapshot, factsOf(i), { .highestCost = 1 }, {});
}

RequestFacts Scene::factsOf(int number) const
{
    RequestFacts facts;
    facts.request = kernel::RequestId("request-" + std::to_string(number));
    facts.workspace = kernel::WorkspaceId("workspace-" + std::to_string(number % workspaceCount));
    facts.kind = kernel::KindId("kind-" + std::to_string(number / workspaceCount % kindCount));
    facts.inputTokens = kernel::Tokens(1000);
    facts.expectedOutput = kernel::Tokens(300);
    facts.stickyKey = facts.request.str();
    return facts;
}

std::vector<RequestFacts> drawFacts(const Scene &scene)
{
    constexpr int count = 1024;
    std::vector<RequestFacts> facts;
    facts.reserve(count);
    for (int i = 0; i < count; ++i)
        facts.push_back(scene.factsOf(i));
    return facts;
}

void versionDecision(benchmark::State &state)
{
    const Scene scene(static_cast<int>(state.range(0)));
    const auto facts = drawFacts(scene);
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooseVersion(scene.snapshot, scene.quality, scene.rollouts,
                                               facts[next++ % facts.size()], {}, {}));
    }
}

void upstreamDecision(benchmark::State &state)
{
    const Scene scene(static_cast<int>(state.range(0)));
    kernel::Random random(1);
    std::uint64_t next = 0;
    for (auto _ : state) {
        const std::array<PrefixHash, 2> prefixes{ next % 100, next };
        ++next;
        benchmark::DoNotOptimize(
            chooseUpstream(scene.pool, scene.subset, { .prefixes = prefixes }, random));
    }
}

void wholeDecision(benchmark::State &state)
{
    Scene scene(static_cast<int>(state.range(0)));
    const auto facts = drawFacts(scene);
    kernel::Random random(1);
    std::size_t next = 0;
    for (auto _ : state) {
        const RequestFacts &request = facts[next % facts.size()];
        const auto decision
            = chooseVersion(scene.snapshot, scene.quality, scene.rollouts, request, {}, {});
        recordChoice(scene.quality, scene.snapshot, request, decision, {});
        benchmark::DoNotOptimize(dispatchAllowed(scene.snapshot, scene.rollouts, request.workspace,
                                                 decision.version, {}));
        const std::array<PrefixHash, 2> prefixes{ next % 100, next };
        ++next;
        const auto upstream
            = chooseUpstream(scene.pool, scene.subset, { .prefixes = prefixes }, random);
        recordStart(scene.pool, upstream.upstream, prefixes, {});
        recordEnd(scene.pool, upstream.upstream, {}, {});
    }
}

void subsetOfFleet(benchmark::State &state)
{
    std::vector<kernel::UpstreamId> upstreams;
    std::vector<kernel::VmId> daemons;
    upstreams.reserve(static_cast<std::size_t>(state.range(0)));
    daemons.reserve(static_cast<std::size_t>(state.range(1)));
    for (int i = 0; i < state.range(0); ++i)
        upstreams.emplace_back("runner-" + std::to_string(i));
    for (int i = 0; i < state.range(1); ++i)
        daemons.emplace_back("vm-" + std::to_string(i));
    for (auto _ : state)
        benchmark::DoNotOptimize(subsetOf(upstreams, daemons.front(), subsetSize, daemons));
}

} // namespace

BENCHMARK(versionDecision)->Arg(64)->Arg(12'000);
BENCHMARK(upstreamDecision)->Arg(64)->Arg(12'000);
BENCHMARK(wholeDecision)->Arg(64)->Arg(1'000)->Arg(12'000);
BENCHMARK(subsetOfFleet)->Args({ 12, 5 })->Args({ 12'000, 340 })->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
