// One part of a prompt crashes each model runner that begins to answer on it. It comes soon after
// the router was stopped and started again. Sound reports share their first part with such
// requests, and must be served beside them.

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../standins-3/router.h"
#include "../standins-3/streams.h"

using namespace review;

namespace {

constexpr Milliseconds startTime{ 10'000 };
constexpr Milliseconds stableWindow{ 3000 };
constexpr Milliseconds streamTimeout{ 25'000 };
constexpr Milliseconds patience{ 27'000 };
constexpr Milliseconds downTime{ 3000 };
constexpr Milliseconds stopTime{ 9000 };
// Twice the stable window after the last crash, and some seconds for the crashes and returns.
constexpr Milliseconds judgedAfter{ 14'000 };
// The sound reports run for some time before the part comes.
constexpr Milliseconds runTime{ 1000 };
constexpr Milliseconds crashingInterval{ 250 };
constexpr const char *crashingPart = "91bd3f06";
constexpr StreamShape longStream{ 64, Milliseconds(120) };
constexpr int modelRunners = 4;
constexpr int streamsInFlight = 12;
constexpr int requestsPerRound = 20;

// A model runner as a process of its own.
class RunnerProcess
{
public:
    RunnerProcess(std::string program, std::string recordFile, std::string id)
        : m_program(std::move(program))
        , m_recordFile(std::move(recordFile))
        , m_id(std::move(id))
    {
        const Socket socket = listenOnLoopback(m_port);
    }
    RunnerProcess(const RunnerProcess &) = delete;
    RunnerProcess &operator=(const RunnerProcess &) = delete;
    ~RunnerProcess() { crash(); }

    void start(Store &store)
    {
        const std::string port = std::to_string(m_port);
        m_pid = fork();
        if (m_pid == 0) {
            // The runner ends with the thread that started it.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            execl(m_program.c_str(), m_program.c_str(), "runner", m_recordFile.c_str(),
                  m_id.c_str(), port.c_str(), nullptr);
            _exit(127);
        }
        while (!connectTo(m_port, Milliseconds(100)).isOpen())
            std::this_thread::sleep_for(Milliseconds(5));
        const auto born = std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        store.put("servers", m_id,
                  R"({"Service":"pool","Address":"127.0.0.1:)" + port
                      + R"(","Zone":"zone-a","Version":"v1","Slots":64,"State":"ready",)"
                        R"("ColdLeftMs":0,"Seq":4,"born":)"
                      + std::to_string(born.count()) + "}");
    }

    void crash()
    {
        if (m_pid <= 0)
            return;
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    // Returns whether the process has ended by itself since its start.
    bool hasCrashed()
    {
        if (m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        return true;
    }

    const std::string &id() const { return m_id; }

private:
    std::string m_program;
    std::string m_recordFile;
    std::string m_id;
    int m_port = 0;
    pid_t m_pid = -1;
};

int runRunner(const std::string &recordFile, const std::string &id, int port)
{
    Record record(recordFile, std::ios::app);
    Runner runner(record, id, port);
    runner.setHandler([&runner](const RunnerCall &run) {
        const std::string parts = run.request.head.header("x-prompt-prefix");
        if (parts.find(crashingPart) != std::string::npos) {
            runner.recordRun(run.id);
            std::this_thread::sleep_for(longStream.interval);
            kill(getpid(), SIGKILL);
        }
        return sendStream(runner, run, longStream);
    });
    while (true)
        pause();
}

std::vector<CallerRequest> reports(const std::string &name, int count)
{
    std::vector<CallerRequest> requests;
    requests.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        requests.push_back(reportRequest(name, i, streamTimeout));
    return requests;
}

// A request with the crashing part; its first part is that of the sound reports.
CallerRequest crashingRequest(int number)
{
    const std::string id = numbered("crashing", "report", number);
    std::string parts = "5c1e07a2:512,";
    parts.append(crashingPart).append(":410,s").append(id).append(":4870,l").append(id);
    return streamRequest(id, "key-a", "6610,64", parts + ":818", streamTimeout);
}

// Starts runners that have crashed again, some seconds later, until it is destroyed.
class Restarts
{
public:
    Restarts(Record &record, Store &store, std::vector<std::unique_ptr<RunnerProcess>> &runners)
    {
        m_threads.reserve(runners.size());
        for (const auto &runner : runners)
            m_threads.emplace_back(
                [this, &record, &store, &runner = *runner] { watch(record, store, runner); });
    }
    ~Restarts()
    {
        m_stopped = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }
    Restarts(const Restarts &) = delete;
    Restarts &operator=(const Restarts &) = delete;

private:
    void watch(Record &record, Store &store, RunnerProcess &runner) const
    {
        while (!m_stopped) {
            if (runner.hasCrashed()) {
                record.write("runner " + runner.id() + " has crashed");
                std::this_thread::sleep_for(downTime);
                runner.start(store);
                record.write("runner " + runner.id() + " is back");
            }
            std::this_thread::sleep_for(Milliseconds(10));
        }
    }

    std::atomic<bool> m_stopped{ false };
    std::vector<std::thread> m_threads;
};

// Sends requests with the crashing part until it is destroyed.
class CrashingCaller
{
public:
    CrashingCaller(Record &record, int port)
        : m_thread([this, &record, port] { send(record, port); })
    {}
    ~CrashingCaller()
    {
        m_stopped = true;
        m_thread.join();
    }
    CrashingCaller(const CrashingCaller &) = delete;
    CrashingCaller &operator=(const CrashingCaller &) = delete;

private:
    void send(Record &record, int port) const
    {
        std::vector<std::thread> calls;
        for (int i = 0; !m_stopped; ++i) {
            calls.emplace_back(
                [&record, port, i] { call(record, port, crashingRequest(i), patience); });
            std::this_thread::sleep_for(crashingInterval);
        }
        for (std::thread &one : calls)
            one.join();
    }

    std::atomic<bool> m_stopped{ false };
    std::thread m_thread;
};

} // namespace

int main(int argc, const char **argv)
{
    if (argc == 5 && std::string(argv[1]) == "runner")
        return runRunner(argv[2], argv[3], std::atoi(argv[4]));
    if (argc < 3)
        return 2;
    const std::string recordFile = std::string(argv[1]) + "/record.txt";
    Record record(recordFile);
    const char *trouble = std::getenv("TROUBLE");
    const bool disrupt = trouble == nullptr || std::string(trouble) != "0";
    Store store;
    store.put("config", "main", modelConfiguration(2, streamTimeout));
    Runner desk(record, "i-desk-1");
    desk.registerAt(store, "desk");
    std::vector<std::unique_ptr<RunnerProcess>> runners;
    for (int i = 0; i < modelRunners; ++i) {
        runners.push_back(
            std::make_unique<RunnerProcess>(argv[0], recordFile, "i-pool-" + std::to_string(i)));
        runners.back()->start(store);
    }
    auto router = std::make_unique<RouterProcess>(argv[2], "front-1", store.port());
    if (!router->waitUntilReady(startTime))
        return 2;
    const int before
        = serveAtOnce(record, router->port(), reports("before", requestsPerRound), patience);
    if (before < requestsPerRound)
        return 2;
    router->signal(SIGTERM);
    if (!router->waitForEnd(stopTime))
        return 2;
    record.write("the router has stopped and starts again");
    router = std::make_unique<RouterProcess>(argv[2], "front-1", store.port());
    if (!router->waitUntilReady(startTime))
        return 2;
    std::this_thread::sleep_for(stableWindow);
    const Restarts restarts(record, store, runners);
    std::thread inProgress(
        [&] { serveAtOnce(record, router->port(), reports("first", streamsInFlight), patience); });
    std::this_thread::sleep_for(runTime);
    std::unique_ptr<CrashingCaller> crashing;
    if (disrupt)
        crashing = std::make_unique<CrashingCaller>(record, router->port());
    std::this_thread::sleep_for(judgedAfter);
    const int begun
        = serveAtOnce(record, router->port(), reports("second", requestsPerRound), patience);
    crashing.reset();
    inProgress.join();
    record.write("reports served: " + std::to_string(before) + " before and "
                 + std::to_string(begun) + " beside the crashing part, of "
                 + std::to_string(requestsPerRound) + " each");
    const bool broken = begun * 2 < before;
    record.write(broken ? "BROKEN: less than half as often" : "held");
    return broken ? 1 : 0;
}
