#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;

namespace {

constexpr int readers = 8;
constexpr int requestsPerUpstream = 4;
constexpr double readMs = 100;
constexpr double promptTokens = 8000;

/// Upstreams with some requests in flight each, and a prompt that a few of them have read.
struct Scene
{
    explicit Scene(int count);

    std::vector<Upstream> upstreams;
    std::vector<const Upstream *> candidates;
    UpstreamRecords records;
    FinishQuery finish{ .promptTokens = promptTokens,
                        .sharedTokens = promptTokens / 2,
                        .baseMs = 1,
                        .readMsPerToken = 0.01 };
};

Scene::Scene(int count)
{
    upstreams.resize(static_cast<std::size_t>(count));
    std::uint64_t number = 0;
    for (Upstream &upstream : upstreams) {
        upstream.id = kernel::UpstreamId("i-" + std::to_string(number));
        candidates.push_back(&upstream);
        for (int i = 0; i < requestsPerUpstream; ++i)
            startWork(records[upstream.id].backlog, { .number = ++number, .readMs = readMs });
        if (finish.holders.size() < readers)
            finish.holders.push_back({ processIdOf(upstream), promptTokens / 2 });
    }
}

void chooseAmong(benchmark::State &state)
{
    const Scene scene(static_cast<int>(state.range(0)));
    kernel::Random random(1);
    const UpstreamQuery query{ .affinity = "session", .finish = &scene.finish };
    for (auto _ : state)
        benchmark::DoNotOptimize(chooseUpstream(scene.candidates, scene.records, query, random));
}

} // namespace

BENCHMARK(chooseAmong)->Arg(30)->Arg(90)->Arg(150);

BENCHMARK_MAIN();
