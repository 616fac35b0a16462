// Measures bills, claims and the reading of engines' streams.
//   acaciasail-bench-ledger
//
// Latencies are of four daemons on one loop over loopback, with a store in memory; the store's
// writes are counted on a fleet under a manual clock.

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "externals/testing/fakeplatform.h"
#include "http/http.h"
#include "ledger/ledger.h"
#include "storewrites.h"
#include "upstreams/upstreams.h"
#include "wire/wire.h"

using namespace acaciasail;

namespace {

constexpr int daemons = 4;
constexpr int warmUp = 200;
constexpr int samples = 5000;

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanosecond = 1e-9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanosecond;
}

/// Four daemons' ledgers on one loop, each with its own listener.
class LoopbackFleet
{
public:
    LoopbackFleet()
        : m_store(m_loop.scheduler())
    {
        for (int i = 0; i < daemons; ++i)
            listen(i);
        for (int i = 0; i < daemons; ++i) {
            const ledger::LedgerEnvironment environment
                = environmentOf(static_cast<std::size_t>(i));
            m_bills.push_back(std::make_unique<ledger::Bills>(environment, ledger::BillOptions{}));
            m_claims.push_back(
                std::make_unique<ledger::Claims>(environment, ledger::ClaimOptions{}));
        }
    }

    http::EventLoop &loop() { return m_loop; }
    ledger::Bills &bills() { return *m_bills.front(); }
    ledger::Claims &claims() { return *m_claims.front(); }

private:
    void listen(int number)
    {
        wire::TransportOptions options;
        options.listen = { "127.0.0.1", 0 };
        auto transport = kernel::capture(
            [&] { return wire::Http2Transport::listen(m_loop, std::move(options)); });
        m_transports.push_back(std::move(transport.value()));
        wire::Peer peer;
        peer.id = kernel::VmId("vm" + std::to_string(number));
        peer.dataCentre = kernel::DataCentreId("dc" + std::to_string(number));
        peer.endpoint = m_transports.back()->endpoint();
        m_peers.push_back(peer);
    }

    ledger::LedgerEnvironment environmentOf(std::size_t number)
    {
        ledger::LedgerEnvironment environment;
        environment.scheduler = &m_loop.scheduler();
        environment.transport = m_transports[number]->transport();
        environment.peers.self = m_peers[number];
        environment.peers.live = [this, number] {
            std::vector<wire::Peer> others = m_peers;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(number));
            return others;
        };
        environment.store = m_store.objectStore();
        environment.boot = "boot" + std::to_string(number);
        return environment;
    }

    http::EventLoop m_loop;
    externals::testing::FakeObjectStore m_store;
    std::vector<std::unique_ptr<wire::Http2Transport>> m_transports;
    std::vector<wire::Peer> m_peers;
    std::vector<std::unique_ptr<ledger::Bills>> m_bills;
    std::vector<std::unique_ptr<ledger::Claims>> m_claims;
};

/// Runs a step again and again, one after the other, and prints its times.
void measureLatency(const char *name, http::EventLoop &loop,
                    const std::function<void(int, std::function<void()>)> &step)
{
    std::vector<double> times;
    times.reserve(samples);
    double processor = 0;
    for (int i = 0; i < warmUp + samples; ++i) {
        if (i == warmUp)
            processor = processorSeconds();
        const kernel::Instant start = loop.scheduler().now();
        bool done = false;
        step(i, [&done] { done = true; });
        loop.runUntil([&done] { return done; }, std::chrono::seconds(10));
        if (i >= warmUp)
            times.push_back(kernel::toSeconds(loop.scheduler().now() - start));
    }
    processor = processorSeconds() - processor;
    std::sort(times.begin(), times.end());
    constexpr double milliseconds = 1e3;
    constexpr double microseconds = 1e6;
    std::printf("%s p50=%.3f ms p99=%.3f ms processor=%.1f us each, all daemons together\n", name,
                times[samples / 2] * milliseconds, times[samples * 99 / 100] * milliseconds,
                processor / samples * microseconds);
}

void measureLedger()
{
    LoopbackFleet fleet;
    measureLatency("settle", fleet.loop(), [&](int number, const std::function<void()> &done) {
        ledger::BillRecord bill;
        bill.id = kernel::BillId("bill" + std::to_string(number));
        fleet.bills().settle(bill, [done](const kernel::Completion<kernel::Done> &) { done(); });
    });
    int granted = 0;
    measureLatency("claim", fleet.loop(), [&](int number, const std::function<void()> &done) {
        ledger::ClaimRequest claim;
        claim.key = kernel::IdempotencyKey("key" + std::to_string(number));
        fleet.claims().claim(
            claim, [&granted, done](const kernel::Completion<ledger::ClaimResult> &r) {
                granted += r.ok() && r.value().outcome == ledger::ClaimOutcome::Granted ? 1 : 0;
                done();
            });
    });
    std::printf("claims granted: %d of %d\n", granted, warmUp + samples);
}

void measureStream()
{
    constexpr int events = 400000;
    std::string stream;
    for (int i = 0; i < events; ++i) {
        stream += R"(data: {"request":"request-0123456789abcdef","attempt":"attempt-0123456789",)"
                  R"("token_index":)"
                  + std::to_string(i) + R"(,"choices":[{"index":0,"delta":{"content":" token"}}]})"
                  + "\n\n";
    }
    std::int64_t delivered = 0;
    upstreams::StreamAssembler assembler("request-0123456789abcdef",
                                         [&](std::string_view, std::int64_t) { ++delivered; });
    assembler.startAttempt("attempt-0123456789");
    upstreams::SseParser parser;
    const double start = processorSeconds();
    constexpr std::size_t pieceBytes = 1400;
    for (std::size_t at = 0; at < stream.size(); at += pieceBytes) {
        parser.feed(std::string_view(stream).substr(at, pieceBytes), [&](std::string_view data) {
            if (auto event = upstreams::parseEngineEvent(data))
                assembler.take(std::move(*event));
        });
    }
    const double spent = processorSeconds() - start;
    std::printf("stream: %lld tokens, %.2f us of processor each, %.0f tokens/s on a core\n",
                static_cast<long long>(delivered), spent / events * 1e6, events / spent);
}

} // namespace

int main()
{
    measureStream();
    measureLedger();
    for (const int rate : { 100, 1000, 8900 }) {
        bench::measureStoreWrites(5, 4, rate);
        bench::measureStoreWrites(45, 9, rate);
        bench::measureStoreWrites(340, 9, rate);
    }
    return 0;
}
