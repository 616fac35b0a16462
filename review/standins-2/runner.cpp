#include "runner.h"

#include <array>
#include <cstdio>
#include <utility>

namespace review {

namespace {

// Time for which a channel without a request is kept.
constexpr std::chrono::seconds idleTime{ 20 };

std::string chunk(const std::string &text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

} // namespace

Runner::Runner(RunnerOptions options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_listener(std::make_unique<Listener>([this](Connection &connection) { serve(connection); }))
    , m_port(m_listener->port())
{}

Runner::~Runner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_slotFreed.notify_all();
    m_listener.reset();
}

void Runner::crash()
{
    m_listener->stop();
    m_crashed = true;
}

void Runner::restart()
{
    m_listener.reset();
    m_listener
        = std::make_unique<Listener>([this](Connection &connection) { serve(connection); }, m_port);
    m_crashed = false;
}

std::vector<Clock::time_point> Runner::crashes()
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

std::map<std::string, int> Runner::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string Runner::event(const std::string &request, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + "\n\n";
}

bool Runner::takeSlot(const std::string &id)
{
    std::unique_lock lock(m_mutex);
    if (m_running >= m_options.slots) {
        if (m_waiting >= m_options.queue)
            return false;
        ++m_waiting;
        m_slotFreed.wait(lock, [this] { return m_stopping || m_running < m_options.slots; });
        --m_waiting;
    }
    ++m_running;
    ++m_runs[id];
    return true;
}

void Runner::freeSlot()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
    }
    m_slotFreed.notify_one();
}

std::string Runner::wholeBody(const std::string &request) const
{
    std::string body;
    for (int number = 1; number <= m_options.events; ++number)
        body += event(request, number);
    if (m_options.events == 0)
        body = "answer to " + request;
    return body + std::string(static_cast<std::size_t>(m_options.pieces) * pieceBytes, 'x');
}

std::string Runner::formatHead(const std::string &id, const std::string &fields) const
{
    return "HTTP/1.1 " + m_options.status + "\r\nX-Attempt-Id: " + id
           + "\r\nX-Response-Stamp: stamp-" + id + "\r\n" + fields + "\r\n";
}

bool Runner::sendPlain(const std::string &id, Connection &connection) const
{
    const std::string body = wholeBody(id);
    const std::string head
        = formatHead(id, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    std::this_thread::sleep_for(m_options.work);
    std::size_t sent = body.size() - static_cast<std::size_t>(m_options.pieces) * pieceBytes;
    if (!connection.write(head + body.substr(0, sent)))
        return false;
    for (; sent < body.size(); sent += pieceBytes) {
        std::this_thread::sleep_for(m_options.work);
        if (connection.isClosedByPeer() || !connection.write(body.substr(sent, pieceBytes)))
            return false;
    }
    return true;
}

bool Runner::sendStream(const std::string &id, Connection &connection) const
{
    if (!connection.write(
            formatHead(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")))
        return false;
    for (int number = 1; number <= m_options.events; ++number) {
        std::this_thread::sleep_for(m_options.work);
        if (connection.isClosedByPeer() || !connection.write(chunk(event(id, number))))
            return false;
    }
    return connection.write(chunk(""));
}

bool Runner::answer(const Message &request, Connection &connection)
{
    const std::string id = request.header("x-attempt-id");
    const std::string expected = request.header("x-expect-instance");
    if (!expected.empty() && expected != m_options.id)
        return connection.write(
            formatMessage("HTTP/1.1 421 Misdirected Request",
                          { { "X-Instance-Id", m_options.id }, { "X-Attempt-Id", id } }, ""));
    if (!m_options.crashingBody.empty() && request.body == m_options.crashingBody) {
        m_record.write(m_options.id + " crashes as it begins to run " + id);
        {
            const std::lock_guard lock(m_mutex);
            m_crashes.push_back(Clock::now());
        }
        crash();
        return false;
    }
    if (!takeSlot(id)) {
        m_record.write(m_options.id + " rejects " + id + " with 503 as not run");
        return connection.write(formatMessage("HTTP/1.1 503 Service Unavailable",
                                              { { "X-Not-Run", "1" }, { "X-Attempt-Id", id } },
                                              ""));
    }
    m_record.write(m_options.id + " runs " + id);
    const bool written
        = m_options.events > 0 ? sendStream(id, connection) : sendPlain(id, connection);
    m_record.write(m_options.id + (written ? " has answered " : " could not answer ") + id);
    freeSlot();
    return written;
}

void Runner::serve(Connection &connection)
{
    while (const auto request = connection.read(Clock::now() + idleTime)) {
        const bool isHealthCheck = request->target() == "/healthz";
        const bool usable = isHealthCheck ? connection.write(formatMessage(
                                "HTTP/1.1 200 OK", { { "X-Instance-Id", m_options.id } }, ""))
                                          : answer(*request, connection);
        if (!usable)
            return;
    }
}

} // namespace review
