#include "driver.h"

#include <csignal>
#include <functional>
#include <utility>

#include <nlohmann/json.hpp>

#include "externals/externals.h"
#include "table/table.h"

namespace acaciasail::scenarios {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds answerPatience{ 60 };

// The text of an answer; tokens must be MARK.t0, MARK.t1, ... without gap or repeat.
bool isWholeText(const std::string &text, int maxTokens)
{
    std::string mark;
    int index = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t end = text.find(' ', position);
        if (end == std::string::npos)
            return false;
        const std::string token = text.substr(position, end - position);
        const std::size_t dot = token.find('.');
        if (index == 0)
            mark = token.substr(0, dot);
        if (token != mark + ".t" + std::to_string(index))
            return false;
        ++index;
        position = end + 1;
    }
    return index == maxTokens;
}

// The text of a stream's events; false in `whole` when the end mark is missing or an error came.
std::string textOfStream(const std::string &body, bool &whole, std::string &version)
{
    std::string text;
    whole = false;
    std::size_t position = 0;
    while ((position = body.find("data: ", position)) != std::string::npos) {
        position += 6;
        const std::string event = body.substr(position, body.find('\n', position) - position);
        if (event == "[DONE]") {
            whole = true;
            continue;
        }
        const Json json = Json::parse(event, nullptr, false);
        if (!json.is_object() || json.contains("error"))
            return text;
        version = json.value("model", version);
        if (!json["choices"].empty())
            text += json["choices"][0]["delta"].value("content", "");
    }
    return text;
}

class Driver
{
public:
    Driver(const Scenario &scenario, const Fleet &fleet, std::uint64_t seed)
        : m_scenario(scenario)
        , m_fleet(fleet)
        , m_client(m_loop)
        , m_seed(seed)
    {
        externals::PlatformOptions options;
        options.endpoint = fleet.platform;
        m_platform = externals::makePlatform(m_client, m_loop.scheduler(), options);
    }

    Outcome run();

private:
    struct Call
    {
        Sending *sending = nullptr;
        const Traffic *traffic = nullptr;
        kernel::Instant sentAt;
        http::ClientHead head;
        std::string body;
        std::unique_ptr<http::Exchange> exchange;
    };

    void schedule(const Traffic &traffic);
    void send(const Traffic &traffic, Sending &sending, int daemon);
    http::ClientRequest makeRequest(const Traffic &traffic, const Sending &sending, int daemon);
    void finish(Call &call, bool complete);
    void judge(Call &call);
    void take(const Step &step);
    std::string fetch(const kernel::Endpoint &endpoint, const std::string &path);

    const Scenario &m_scenario;
    const Fleet &m_fleet;
    http::EventLoop m_loop;
    http::Client m_client;
    std::uint64_t m_seed;
    externals::Platform m_platform;
    std::vector<std::unique_ptr<Sending>> m_sendings;
    std::vector<std::unique_ptr<Call>> m_calls;
    std::map<std::string, std::string> m_sessions;
    std::vector<std::string> m_problems;
    std::size_t m_ended = 0;
};

void Driver::schedule(const Traffic &traffic)
{
    for (int i = 0; i < traffic.count; ++i) {
        const std::string request
            = traffic.name + "-" + std::to_string(m_seed) + "-" + std::to_string(i);
        for (int send = 0; send < traffic.sends; ++send) {
            auto sending = std::make_unique<Sending>();
            sending->request = traffic.sends == 1 ? request : request + "." + std::to_string(send);
            sending->traffic = traffic.name;
            if (traffic.idempotencyKey)
                sending->key = request;
            const int daemon
                = traffic.daemons[static_cast<std::size_t>(i + send) % traffic.daemons.size()];
            const kernel::Duration at
                = traffic.start + traffic.interval * i + traffic.sendGap * send;
            m_loop.scheduler().startTimer(at, [this, &traffic, target = sending.get(), daemon] {
                this->send(traffic, *target, daemon);
            });
            m_sendings.push_back(std::move(sending));
        }
    }
}

http::ClientRequest Driver::makeRequest(const Traffic &traffic, const Sending &sending, int daemon)
{
    http::ClientRequest request;
    request.endpoint = m_fleet.daemons.at(static_cast<std::size_t>(daemon - 1));
    request.method = "POST";
    request.idleTimeout = answerPatience;
    request.headers = { { "authorization", "Bearer " + traffic.key },
                        { "content-type", "application/json" },
                        { "x-request-id", sending.request } };
    if (!sending.key.empty())
        request.headers.push_back({ "idempotency-key", sending.key });
    if (!traffic.kind.empty())
        request.headers.push_back({ "x-request-kind", traffic.kind });
    if (traffic.session) {
        const std::string &session = m_sessions[traffic.name];
        request.headers.push_back({ "x-session-id", session.empty() ? "new" : session });
    }
    if (!traffic.service.empty()) {
        request.path = traffic.service;
        request.body = Json{ { "note", sending.key } }.dump();
        return request;
    }
    request.path = "/v1/chat/completions";
    request.body = Json{
        { "model", traffic.model },
        { "stream", traffic.stream },
        { "max_tokens", traffic.maxTokens },
        { "service_tier", traffic.tier },
        { "messages",
          { { { "role", "user" }, { "content", traffic.text + " " + sending.request } } } }
    }.dump();
    return request;
}

void Driver::send(const Traffic &traffic, Sending &sending, int daemon)
{
    m_calls.push_back(std::make_unique<Call>());
    Call *call = m_calls.back().get();
    call->sending = &sending;
    call->traffic = &traffic;
    call->sentAt = m_loop.scheduler().now();
    http::ClientHandlers handlers;
    handlers.onHead = [call](const http::ClientHead &head) { call->head = head; };
    handlers.onBody = [this, call](std::string_view piece) {
        if (call->body.empty())
            call->sending->firstByte = m_loop.scheduler().now() - call->sentAt;
        call->body += piece;
    };
    handlers.onEnd
        = [this, call](const kernel::Completion<kernel::Done> &end) { finish(*call, end.ok()); };
    call->exchange = m_client.send(makeRequest(traffic, sending, daemon), std::move(handlers));
}

void Driver::finish(Call &call, bool complete)
{
    Sending &sending = *call.sending;
    sending.ended = true;
    sending.total = m_loop.scheduler().now() - call.sentAt;
    ++m_ended;
    sending.status = complete ? call.head.status : 0;
    sending.runState = std::string(http::findHeader(call.head.headers, "x-run-state").value_or(""));
    sending.replayed = http::findHeader(call.head.headers, "idempotent-replayed").has_value();
    const auto session = http::findHeader(call.head.headers, "x-session-id");
    if (session && call.traffic->session)
        m_sessions[call.traffic->name] = std::string(*session);
    if (complete && sending.status == 200)
        judge(call);
}

void Driver::judge(Call &call)
{
    Sending &sending = *call.sending;
    const Traffic &traffic = *call.traffic;
    if (!traffic.service.empty()) {
        const Json json = Json::parse(call.body, nullptr, false);
        sending.answered = json.is_object();
        sending.wrong = !sending.answered || json.value("idempotency_key", "") != sending.key;
        return;
    }
    bool whole = true;
    std::string text;
    if (traffic.stream) {
        text = textOfStream(call.body, whole, sending.version);
    } else {
        const Json json = Json::parse(call.body, nullptr, false);
        whole = json.is_object() && json.contains("choices");
        if (whole) {
            text = json["choices"][0]["message"].value("content", "");
            sending.version = json.value("model", "");
        }
    }
    sending.answered = whole;
    sending.wrong = whole && !isWholeText(text, traffic.maxTokens);
}

void Driver::take(const Step &step)
{
    if (!step.fault.empty()) {
        http::ClientRequest request{ .endpoint = m_fleet.control,
                                     .method = "POST",
                                     .path = "/faults" };
        request.body = step.fault;
        m_client.fetch(request, [this](const kernel::Completion<http::ClientResponse> &response) {
            if (!response.ok() || response.value().head.status != 200)
                m_problems.push_back("a fault was not taken");
        });
    }
    const auto number = static_cast<std::size_t>(step.daemon);
    if (!step.signal.empty() && number >= 1 && number <= m_fleet.processes.size()) {
        const std::map<std::string, int> signals{
            { "KILL", SIGKILL }, { "STOP", SIGSTOP }, { "CONT", SIGCONT }, { "TERM", SIGTERM }
        };
        kill(m_fleet.processes[number - 1], signals.at(step.signal));
    }
    if (step.table.empty())
        return;
    table::EditRequest edit;
    edit.key = table::parseRowKey(step.table + "/" + step.row).value_or(table::RowKey{});
    edit.cells = { { step.column, step.value } };
    edit.edit = kernel::EditId("scenario-" + std::to_string(m_seed) + "-" + step.row + step.value);
    edit.by = "scenario";
    table::applyEdit(m_platform.objects, m_loop.scheduler(), {}, edit,
                     [this](const kernel::Completion<table::EditOutcome> &outcome) {
                         if (!outcome.ok())
                             m_problems.push_back("edit: " + outcome.error().message);
                     });
}

std::string Driver::fetch(const kernel::Endpoint &endpoint, const std::string &path)
{
    std::string body;
    bool done = false;
    m_client.fetch({ .endpoint = endpoint, .path = path },
                   [&](kernel::Completion<http::ClientResponse> response) {
                       done = true;
                       if (response.ok())
                           body = std::move(response.value().body);
                   });
    m_loop.runUntil([&] { return done; }, answerPatience);
    return body;
}

Outcome Driver::run()
{
    for (const Traffic &traffic : m_scenario.traffic)
        schedule(traffic);
    kernel::Duration lastStep{};
    for (const Step &step : m_scenario.steps) {
        m_loop.scheduler().startTimer(step.at, [this, &step] { take(step); });
        lastStep = std::max(lastStep, step.at);
    }
    const kernel::Instant begin = m_loop.scheduler().now();
    m_loop.runUntil(
        [&] { return m_ended == m_sendings.size() && m_loop.scheduler().now() > begin + lastStep; },
        answerPatience + lastStep);
    m_loop.runUntil([] { return false; }, m_scenario.settle);
    Outcome outcome;
    outcome.record = fetch(m_fleet.control, "/record");
    outcome.bills = fetch(m_fleet.platform, "/objects?prefix=bills/");
    for (const auto &sending : m_sendings)
        outcome.sendings.push_back(*sending);
    outcome.problems = m_problems;
    return outcome;
}

} // namespace

Outcome runScenario(const Scenario &scenario, const Fleet &fleet, std::uint64_t seed)
{
    Driver driver(scenario, fleet, seed);
    return driver.run();
}

} // namespace acaciasail::scenarios
