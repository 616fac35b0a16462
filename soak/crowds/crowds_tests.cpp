// Crowds of callers that don't behave, against a router process of its own on loopback addresses.
// Checked is what doesn't depend on the machine's speed: the process lives, its memory and its
// descriptors stay below a bound, and one ordinary request is answered afterwards.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include "childprocess.h"
#include "crowds/crowd.h"
#include "http/internal/address.h"
#include "platform/testing/runnerstandin.h"
#include "platform/testing/storestandin.h"
#include "platform/testing/wireforms.h"

namespace acaciasail::soak {

namespace {

using namespace std::chrono_literals;
using platform::testing::RunnerStandin;
using platform::testing::StoreStandin;

// Memory of the VM for which the router is set up, and the limits of the configuration.
constexpr std::size_t megabyte = 1U << 20U;
constexpr std::size_t memoryMegabytes = 64;
constexpr std::size_t maxBodyBytes = megabyte;
constexpr std::size_t maxHeaderBytes = 16U << 10U;
constexpr std::size_t maxConnections = 200;

// The bounds: half of the VM's memory; the callers' connections, as many to upstreams, and the
// rest.
constexpr std::size_t maxPeakMegabytes = memoryMegabytes / 2;
constexpr std::size_t maxDescriptors = 2 * maxConnections + 100;

// Sizes of the crowds: four times what fills the memory with bodies, or the limit of connections.
constexpr std::size_t bodyCrowd = 4 * memoryMegabytes * megabyte / maxBodyBytes;
constexpr std::size_t connectionCrowd = 4 * maxConnections;

constexpr kernel::Duration playTime = 4s;
constexpr kernel::Duration patience = 10s;

enum class Form {
    BodyStopsShort,
    BodyInPieces,
    BodyInChunks,
    BodyOverLimit,
    BodyOverLimitInChunks,
    ManyFields,
    HeadStopsHalfWay,
    HeadOverLimit,
    RequestsSentAhead,
    SlowSenders,
    ReadsNothing,
    ReadsHalf,
    SendsNothing,
};

enum class Place { Route, NoRoute, WrongKey, Readiness, Metrics };

const std::map<Form, std::string> formNames{
    { Form::BodyStopsShort, "BodyStopsShort" },
    { Form::BodyInPieces, "BodyInPieces" },
    { Form::BodyInChunks, "BodyInChunks" },
    { Form::BodyOverLimit, "BodyOverLimit" },
    { Form::BodyOverLimitInChunks, "BodyOverLimitInChunks" },
    { Form::ManyFields, "ManyFields" },
    { Form::HeadStopsHalfWay, "HeadStopsHalfWay" },
    { Form::HeadOverLimit, "HeadOverLimit" },
    { Form::RequestsSentAhead, "RequestsSentAhead" },
    { Form::SlowSenders, "SlowSenders" },
    { Form::ReadsNothing, "ReadsNothing" },
    { Form::ReadsHalf, "ReadsHalf" },
    { Form::SendsNothing, "SendsNothing" },
};

const std::map<Place, std::string> placeNames{
    { Place::Route, "Route" },       { Place::NoRoute, "NoRoute" },
    { Place::WrongKey, "WrongKey" }, { Place::Readiness, "Readiness" },
    { Place::Metrics, "Metrics" },
};

// Returns a request's head without the empty line that ends it.
std::string openHead(Place place, const std::string &method)
{
    static int lastId = 0;
    const bool isForCallers = place != Place::Readiness && place != Place::Metrics;
    const http::ClientRequest request
        = platform::testing::makeCallerRequest({},
                                               place == Place::NoRoute ? "/none/x"
                                               : isForCallers          ? "/look/x"
                                                                       : "/",
                                               "crowd-" + std::to_string(++lastId), 5s);
    std::string head = method + " " + request.path + " HTTP/1.1\r\nhost: " + request.host + "\r\n";
    for (const http::Header &header : request.headers) {
        const bool isKey = header.value == platform::testing::testKey;
        head += header.name + ": " + (isKey && place == Place::WrongKey ? "wrong" : header.value)
                + "\r\n";
    }
    return head;
}

std::string withLength(std::string head, std::size_t length)
{
    return std::move(head) + "content-length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunk(std::size_t size)
{
    std::string head(16, '\0');
    head.resize(static_cast<std::size_t>(std::snprintf(head.data(), head.size(), "%zx\r\n", size)));
    return head + std::string(size, 'x') + "\r\n";
}

std::string fields(const std::string &field, std::size_t bytes)
{
    std::string text;
    while (text.size() + field.size() <= bytes)
        text += field;
    return text;
}

std::size_t crowdSize(Form form)
{
    return form == Form::SendsNothing || form == Form::HeadStopsHalfWay ? connectionCrowd
                                                                        : bodyCrowd;
}

CrowdBehaviour makeBehaviour(Form form, Place place)
{
    constexpr std::size_t chunkBytes = 4096;
    constexpr std::size_t farOver = 4 * maxBodyBytes;
    constexpr std::size_t requestsAhead = 2000;
    constexpr std::size_t smallPiece = 100;
    CrowdBehaviour behaviour;
    const std::string post = openHead(place, "POST");
    const std::string get = openHead(place, "GET");
    behaviour.repeated = std::string(megabyte, 'x');
    const std::string chunked = post + "transfer-encoding: chunked\r\n\r\n";
    switch (form) {
    case Form::BodyInPieces:
        behaviour.pieceBytes = smallPiece;
        [[fallthrough]];
    case Form::BodyStopsShort:
        behaviour.opening = withLength(post, maxBodyBytes);
        behaviour.repeatedBytes = maxBodyBytes - 1;
        break;
    case Form::BodyInChunks:
        behaviour.opening = chunked;
        behaviour.repeated = chunk(chunkBytes);
        behaviour.repeatedBytes = maxBodyBytes - chunkBytes;
        break;
    case Form::BodyOverLimit:
        behaviour.opening = withLength(post, farOver);
        behaviour.repeatedBytes = farOver - 1;
        break;
    case Form::BodyOverLimitInChunks:
        behaviour.opening = chunked;
        behaviour.repeated = chunk(chunkBytes);
        behaviour.repeatedBytes = farOver;
        break;
    case Form::ManyFields:
        behaviour.opening = get + fields("a: b\r\n", maxHeaderBytes - get.size() - 2) + "\r\n";
        break;
    case Form::HeadStopsHalfWay:
        behaviour.opening = get + fields("a: b\r\n", maxHeaderBytes - get.size() - 2);
        break;
    case Form::HeadOverLimit:
        behaviour.opening = get + "a: ";
        behaviour.repeatedBytes = maxBodyBytes;
        break;
    case Form::RequestsSentAhead:
        behaviour.repeated = get + "\r\n";
        behaviour.repeatedBytes = requestsAhead * behaviour.repeated.size();
        break;
    case Form::SlowSenders:
        behaviour.opening = withLength(post, maxBodyBytes);
        behaviour.repeatedBytes = maxBodyBytes - 1;
        behaviour.pieceBytes = maxBodyBytes / 64;
        behaviour.interval = 50ms;
        break;
    case Form::ReadsHalf:
        behaviour.readBytes = maxBodyBytes / 2;
        [[fallthrough]];
    case Form::ReadsNothing:
        behaviour.opening = get + "\r\n";
        break;
    case Form::SendsNothing:
        break;
    }
    return behaviour;
}

// A loopback address that only this process uses, so that no other program takes its ports.
std::string ownLoopback()
{
    constexpr int octet = 250;
    const int pid = getpid();
    return "127." + std::to_string(1 + pid / octet % octet) + "." + std::to_string(1 + pid % octet)
           + ".2";
}

// The address and port of a listener that is closed again.
kernel::Endpoint freeEndpoint()
{
    const auto fd = kernel::capture([] { return http::openListener({ ownLoopback(), 0 }); });
    http::SocketAddress bound;
    bound.length = sizeof bound.storage;
    getsockname(fd.value(), bound.get(), &bound.length);
    close(fd.value());
    return http::toEndpoint(bound);
}

} // namespace

class Crowds : public testing::TestWithParam<std::tuple<Form, Place>>
{
protected:
    Crowds()
    {
        m_runner.behaviour().extraBytes = maxBodyBytes;
        nlohmann::json configuration
            = platform::testing::makeConfigurationSpec(1, { { "look", "safe", "desk" } });
        platform::testing::setCallerLimits(configuration, maxBodyBytes, maxHeaderBytes);
        m_store.put("config", "main", configuration);
        nlohmann::json spec = platform::testing::makeRunnerSpec("desk", m_runner.endpoint());
        spec["Slots"] = bodyCrowd;
        m_store.put("servers", "r1", spec);
        std::filesystem::create_directories(m_folder);
        std::ofstream(m_folder + "/router.toml")
            << "[router]\nvm = \"vm\"\ndata_centre = \"z\"\n"
            << memorySetting() << "[callers]\nlisten = \"" << kernel::toString(m_callers)
            << "\"\nmax_connections = " << maxConnections << "\n[readiness]\nlisten = \""
            << kernel::toString(m_readiness) << "\"\n[metrics]\nlisten = \""
            << kernel::toString(m_metrics) << "\"\n[store]\naddress = \""
            << kernel::toString(m_store.endpoint()) << "\"\n";
        m_process = std::make_unique<ChildProcess>(
            std::vector<std::string>{ ACACIASAIL_ROUTER_PROGRAM, "--settings",
                                      m_folder + "/router.toml" },
            m_folder + "/router.log");
    }

    void TearDown() override
    {
        m_process = nullptr;
        std::filesystem::remove_all(m_folder);
    }

    static std::string memorySetting()
    {
        return "memory_mb = " + std::to_string(memoryMegabytes) + "\n";
    }

    // Returns the response's status; 0 without one.
    int ask(const kernel::Endpoint &router, const std::string &path, const std::string &body)
    {
        std::optional<int> status;
        http::ClientRequest request = platform::testing::makeCallerRequest(
            router, path, "ask-" + std::to_string(++m_lastId), patience);
        request.body = body;
        request.totalTimeout = patience;
        request.maxIdle = {};
        m_client.fetch(request, [&](kernel::Completion<http::ClientResponse> response) {
            status = response.ok() ? response.value().head.status : 0;
        });
        m_loop.runUntil([&] { return status.has_value(); }, 2 * patience);
        return status.value_or(0);
    }

    bool waitUntilServed()
    {
        const kernel::Instant end = m_loop.scheduler().now() + patience;
        while (m_loop.scheduler().now() < end) {
            if (ask(m_callers, "/look/first", "") == 200)
                return true;
            m_loop.runOnce(20ms);
        }
        return false;
    }

    std::size_t peakMegabytes() const
    {
        constexpr std::size_t kilobytesPerMegabyte = 1024;
        std::ifstream status("/proc/" + std::to_string(m_process->pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoull(line.substr(line.find_first_of("0123456789")))
                       / kilobytesPerMegabyte;
        }
        return 0;
    }

    std::size_t descriptors() const
    {
        const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_process->pid())
                                                        + "/fd");
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    kernel::Endpoint addressOf(Place place) const
    {
        if (place == Place::Readiness)
            return m_readiness;
        return place == Place::Metrics ? m_metrics : m_callers;
    }

    // Plays the crowd, and checks what must hold while all its connections are still open.
    void playAndCheck(Form form, Place place)
    {
        ASSERT_TRUE(waitUntilServed());
        Crowd crowd(m_loop, addressOf(place), crowdSize(form), makeBehaviour(form, place));
        crowd.play(playTime);
        ASSERT_TRUE(m_process->running()) << m_process->ending();
        const std::size_t peak = peakMegabytes();
        const std::size_t open = descriptors();
        std::cout << "peak " << peak << " MB, descriptors " << open << "\n";
        EXPECT_GT(peak, 0U);
        EXPECT_LE(peak, maxPeakMegabytes);
        EXPECT_LE(open, maxDescriptors);
        EXPECT_EQ(ask(m_callers, "/look/after", "ordinary"), 200);
        EXPECT_TRUE(m_process->running()) << m_process->ending();
    }

    http::EventLoop m_loop;
    StoreStandin m_store{ m_loop, { "127.0.0.1", 0 } };
    RunnerStandin m_runner{ m_loop, { "127.0.0.1", 0 }, "r1" };
    http::Client m_client{ m_loop };
    kernel::Endpoint m_callers = freeEndpoint();
    kernel::Endpoint m_readiness = freeEndpoint();
    kernel::Endpoint m_metrics = freeEndpoint();
    std::string m_folder = (std::filesystem::temp_directory_path()
                            / ("acaciasail-crowds-" + std::to_string(getpid())))
                               .string();
    std::unique_ptr<ChildProcess> m_process;
    int m_lastId = 0;
};

namespace {

TEST_P(Crowds, StayWithinBounds)
{
    playAndCheck(std::get<Form>(GetParam()), std::get<Place>(GetParam()));
}

std::string nameOf(const testing::TestParamInfo<std::tuple<Form, Place>> &info)
{
    return formNames.at(std::get<Form>(info.param)) + "At"
           + placeNames.at(std::get<Place>(info.param));
}

INSTANTIATE_TEST_SUITE_P(
    AnyPlace, Crowds,
    testing::Combine(testing::Values(Form::BodyStopsShort, Form::BodyInChunks, Form::BodyOverLimit,
                                     Form::BodyOverLimitInChunks, Form::ManyFields,
                                     Form::HeadStopsHalfWay, Form::HeadOverLimit,
                                     Form::RequestsSentAhead, Form::SendsNothing),
                     testing::Values(Place::Route, Place::NoRoute, Place::WrongKey,
                                     Place::Readiness, Place::Metrics)),
    nameOf);

// These send or read for seconds, so they are played at fewer places.
INSTANTIATE_TEST_SUITE_P(Slow, Crowds,
                         testing::Combine(testing::Values(Form::BodyInPieces, Form::SlowSenders),
                                          testing::Values(Place::Route, Place::Readiness)),
                         nameOf);

INSTANTIATE_TEST_SUITE_P(Answers, Crowds,
                         testing::Combine(testing::Values(Form::ReadsNothing, Form::ReadsHalf),
                                          testing::Values(Place::Route, Place::Metrics)),
                         nameOf);

} // namespace

} // namespace acaciasail::soak
