#include "http/internal/callerconnections.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http/internal/directresponder.h"
#include "http/internal/requesthead.h"
#include "http/internal/socketoptions.h"

namespace acaciasail::http {

namespace {

constexpr int httpHeadTooLarge = 431;
// Unused part of a buffer that counts as held; the system has not backed the rest with memory yet.
constexpr std::size_t bufferSlack = 16U << 10U;
// A request of which more than this has arrived is checked before the rest is kept.
constexpr std::size_t uncheckedBytes = 16U << 10U;
// Upper bound of the request line, which the limit of the head's fields doesn't include.
constexpr std::size_t requestLineBytes = 8U << 10U;
// Bytes that a request over HTTP/2 takes beside its body.
constexpr std::size_t http2HeadBytes = 1U << 10U;
// Connections are closed until the limit divided by this is free again.
constexpr std::size_t freedPart = 16;
// To make room, the limit of connections divided by this are closed at a time.
constexpr std::size_t roomPart = 16;
// Time in which the caller of a refused request gets the response while the rest is dropped.
constexpr kernel::Duration discardTime = std::chrono::seconds(2);
// Time without progress after which it is checked whether the caller is gone.
constexpr kernel::Duration goneTime = std::chrono::seconds(3);
constexpr const char *closedHere = "closed for a limit";

std::string_view inputOf(const CallerConnection &connection)
{
    const h2o_buffer_t *input = connection.socket->input;
    return { input->bytes, input->size };
}

std::size_t bytesHeldFor(const CallerConnection &connection)
{
    return connection.inputBytes + connection.answerBytes + connection.bodyBytes
           + connection.unreadBytes;
}

CallerActivity activityOf(const CallerConnection &connection)
{
    if (connection.answerBytes > 0 || connection.unsent > connection.running)
        return CallerActivity::Reading;
    if (connection.running > 0)
        return CallerActivity::Waiting;
    return connection.inputBytes > 0 || connection.discarding ? CallerActivity::Sending
                                                              : CallerActivity::Idle;
}

} // namespace

// Object that a socket's data points to; it is deleted when the socket is closed.
struct CallerConnections::Entry
{
    std::shared_ptr<CallerConnections> owner;
    std::shared_ptr<CallerConnection> connection;
};

CallerConnections::CallerConnections(EventLoop &loop, ServerOptions &options, Refuser refuse)
    : m_loop(loop)
    , m_options(&options)
    , m_refuse(std::move(refuse))
{}

void CallerConnections::add(h2o_socket_t *socket)
{
    auto connection = std::make_shared<CallerConnection>();
    connection->socket = socket;
    connection->movedAt = m_loop.scheduler().now();
    m_connections.emplace(socket, connection);
    socket->on_close.data = new Entry{ shared_from_this(), std::move(connection) };
    socket->on_close.cb = &CallerConnections::onClosed;
}

void CallerConnections::watch(h2o_socket_t *socket)
{
    // The library may have closed the socket during h2o_accept().
    const auto found = m_connections.find(socket);
    if (found != m_connections.end())
        follow(*found->second);
}

std::shared_ptr<CallerConnection> CallerConnections::find(h2o_socket_t *socket)
{
    return static_cast<Entry *>(socket->on_close.data)->connection;
}

void CallerConnections::onClosed(void *data)
{
    const std::unique_ptr<Entry> entry(static_cast<Entry *>(data));
    CallerConnection &connection = *entry->connection;
    CallerConnections &self = *entry->owner;
    self.m_connections.erase(connection.socket);
    self.m_heldBytes -= connection.inputBytes + connection.unreadBytes;
    connection.inputBytes = 0;
    connection.unreadBytes = 0;
    connection.socket = nullptr;
}

// Replaces the library's read callback. The library sets its own again when it begins to read the
// next request.
void CallerConnections::follow(CallerConnection &connection)
{
    if (connection.socket == nullptr || connection.socket->ssl != nullptr)
        return;
    if (connection.socket->_cb.read == nullptr
        || connection.socket->_cb.read == &CallerConnections::onReadable)
        return;
    connection.read = std::exchange(connection.socket->_cb.read, &CallerConnections::onReadable);
}

void CallerConnections::onReadable(h2o_socket_t *socket, const char *error)
{
    // A copy, as the call may close the connection.
    const Entry entry = *static_cast<Entry *>(socket->on_close.data);
    if (error != nullptr || entry.owner->m_options == nullptr) {
        entry.connection->read(socket, error);
        return;
    }
    entry.owner->readFrom(entry.connection);
}

void CallerConnections::readFrom(const std::shared_ptr<CallerConnection> &connection)
{
    connection->movedAt = m_loop.scheduler().now();
    if (connection->discarding) {
        discard(*connection);
        return;
    }
    connection->read(connection->socket, nullptr);
    if (connection->socket == nullptr)
        return;
    follow(*connection);
    countInput(*connection);
    if (!connection->http2 && !connection->bodyAccepted && connection->unsent == 0
        && connection->inputBytes > uncheckedBytes)
        checkHead(*connection);
    keepWithinMemory();
}

void CallerConnections::countInput(CallerConnection &connection)
{
    const h2o_buffer_t *input = connection.socket->input;
    std::size_t bytes = std::min(input->capacity, input->size + bufferSlack);
    if (input->size == 0)
        bytes = 0;
    const auto *library = static_cast<const h2o_conn_t *>(connection.socket->data);
    // Only HTTP/2 can push.
    connection.http2 = library->callbacks->push_path != nullptr;
    if (connection.http2) {
        // The library keeps bodies by stream, where they can't be counted, so all bytes read count
        // until a freed request accounts for them.
        connection.http2Base = std::min(connection.http2Base, connection.socket->bytes_read);
        bytes += connection.socket->bytes_read - connection.http2Base;
    }
    if (connection.inputBytes == 0 && bytes > 0)
        connection.requestSince = m_loop.scheduler().now();
    m_heldBytes += bytes - connection.inputBytes;
    connection.inputBytes = bytes;
}

// Refuses a request that need not be read to its end: a head over the limit, or a body that is not
// accepted. After that the library gets no bytes of this connection, only its end.
void CallerConnections::checkHead(CallerConnection &connection)
{
    const std::string_view input = inputOf(connection);
    const auto responder = std::make_shared<DirectResponder>(h2o_socket_get_fd(connection.socket));
    const std::size_t maxHead = m_options->maxHeadBytes + requestLineBytes;
    if (!holdsWholeHead(input.substr(0, maxHead))) {
        if (m_options->maxHeadBytes == 0 || input.size() <= maxHead)
            return;
        ++m_counts.refusedHeads;
        responder->send(httpHeadTooLarge, {}, "");
        discard(connection);
        return;
    }
    connection.bodyAccepted = true;
    if (!m_options->acceptsBody)
        return;
    const std::optional<ServerRequest> head = readRequestHead(input);
    if (!head || m_options->acceptsBody(*head))
        return;
    connection.bodyAccepted = false;
    ++m_counts.refusedBodies;
    m_refuse(*head, responder);
    responder->abort();
    discard(connection);
}

void CallerConnections::discard(CallerConnection &connection)
{
    if (!std::exchange(connection.discarding, true))
        connection.requestSince = m_loop.scheduler().now();
    h2o_buffer_consume(&connection.socket->input, connection.socket->input->size);
    m_heldBytes -= connection.inputBytes;
    connection.inputBytes = 0;
}

void CallerConnections::requestBegan(CallerConnection &connection, std::size_t bodyBytes)
{
    ++connection.running;
    ++connection.unsent;
    ++m_unsentAnswers;
    connection.bodyBytes += bodyBytes;
    m_heldBytes += bodyBytes;
    connection.movedAt = m_loop.scheduler().now();
}

void CallerConnections::requestAnswered(CallerConnection &connection)
{
    --connection.running;
    connection.served = true;
    connection.movedAt = m_loop.scheduler().now();
}

void CallerConnections::requestFreed(const std::shared_ptr<CallerConnection> &connection,
                                     std::size_t bodyBytes)
{
    --connection->unsent;
    --m_unsentAnswers;
    connection->bodyBytes -= bodyBytes;
    m_heldBytes -= bodyBytes;
    connection->bodyAccepted = false;
    connection->http2Base += bodyBytes + http2HeadBytes;
    if (connection->socket == nullptr || m_options == nullptr)
        return;
    connection->movedAt = m_loop.scheduler().now();
    m_toFollow.push_back(connection);
    if (m_toFollow.size() > 1)
        return;
    // The library sets its read callback after this call.
    m_loop.atTurnEnd([self = shared_from_this()] {
        for (const auto &weak : std::exchange(self->m_toFollow, {})) {
            const auto next = weak.lock();
            if (!next || next->socket == nullptr)
                continue;
            self->follow(*next);
            self->countInput(*next);
        }
    });
}

void CallerConnections::addAnswerBytes(CallerConnection &connection, std::ptrdiff_t change)
{
    connection.answerBytes += static_cast<std::size_t>(change);
    m_heldBytes += static_cast<std::size_t>(change);
    if (m_options == nullptr)
        return;
    if (change < 0)
        connection.movedAt = m_loop.scheduler().now();
    const std::size_t limit = memoryLimit();
    if (change <= 0 || limit == 0 || m_heldBytes <= limit || std::exchange(m_memoryCheckDue, true))
        return;
    // Deferred, as the write that caused this call must not close its own connection.
    m_loop.atTurnEnd([self = shared_from_this()] {
        self->m_memoryCheckDue = false;
        self->keepWithinMemory();
    });
}

std::size_t CallerConnections::memoryLimit() const
{
    // The input buffer and its unused part, and the two copies of a running request's body.
    constexpr std::size_t copiesOfBody = 4;
    if (m_options == nullptr || m_options->memoryBytes == 0)
        return 0;
    return std::max(m_options->memoryBytes, copiesOfBody * m_options->maxBodyBytes);
}

std::size_t CallerConnections::queueLimit() const
{
    // The rest is for bodies, and for bytes of responses that still arrive when reading pauses.
    constexpr std::size_t queuesPart = 4;
    constexpr std::size_t smallestLimit = 8U << 10U;
    const std::size_t limit = memoryLimit();
    if (limit == 0)
        return std::numeric_limits<std::size_t>::max();
    return std::max(smallestLimit, limit / queuesPart / std::max<std::size_t>(m_unsentAnswers, 1));
}

void CallerConnections::keepWithinMemory()
{
    const std::size_t limit = memoryLimit();
    if (limit > 0 && m_heldBytes > limit)
        m_counts.closedForMemory
            += closeChosen(&chooseForMemory, m_heldBytes - limit + limit / freedPart);
}

bool CallerConnections::makeRoom()
{
    if (m_options == nullptr || m_connections.size() < m_options->maxConnections)
        return m_options != nullptr;
    m_counts.closedForRoom += closeChosen(
        &chooseForRoom, std::max<std::size_t>(1, m_options->maxConnections / roomPart));
    return m_connections.size() < m_options->maxConnections;
}

// Returns the number of connections that were closed. Those that are closing already count as
// closed, with the bytes that they hold.
std::size_t CallerConnections::closeChosen(Chooser choose, std::size_t amount)
{
    const kernel::Instant now = m_loop.scheduler().now();
    std::vector<ClosingCandidate> candidates;
    std::vector<std::shared_ptr<CallerConnection>> connections;
    std::size_t closing = 0;
    for (const auto &[socket, connection] : m_connections) {
        if (connection->closing) {
            closing += choose == &chooseForMemory ? bytesHeldFor(*connection) : 1;
            continue;
        }
        candidates.push_back({ activityOf(*connection), bytesHeldFor(*connection),
                               now - connection->movedAt, connection->served });
        connections.push_back(connection);
    }
    if (closing >= amount)
        return 0;
    const std::vector<std::size_t> chosen = choose(candidates, amount - closing);
    for (const std::size_t index : chosen)
        close(connections[index]);
    return chosen.size();
}

void CallerConnections::close(const std::shared_ptr<CallerConnection> &connection)
{
    if (connection->socket == nullptr)
        return;
    connection->closing = true;
    const int descriptor = h2o_socket_get_fd(connection->socket);
    if (connection->socket->_cb.read == &CallerConnections::onReadable) {
        resetOnClose(descriptor);
        connection->read(connection->socket, closedHere);
        return;
    }
    // The library isn't reading, so it notices when its write fails; a request that runs is found
    // by the check for callers that hung up.
    resetOnClose(descriptor);
    shutdown(descriptor, SHUT_RDWR);
}

void CallerConnections::checkTimes()
{
    const kernel::Instant now = m_loop.scheduler().now();
    std::vector<std::shared_ptr<CallerConnection>> connections;
    for (const auto &[socket, connection] : m_connections) {
        if (!connection->closing && activityOf(*connection) != CallerActivity::Idle)
            connections.push_back(connection);
    }
    for (const auto &connection : connections)
        checkTimes(connection, now);
    keepWithinMemory();
}

void CallerConnections::checkTimes(const std::shared_ptr<CallerConnection> &connection,
                                   kernel::Instant now)
{
    if (connection->socket == nullptr)
        return;
    const int descriptor = h2o_socket_get_fd(connection->socket);
    if (connection->unsent > 0) {
        // Requests sent ahead wait in the system until the one before them is answered.
        int unread = 0;
        ioctl(descriptor, FIONREAD, &unread);
        m_heldBytes += static_cast<std::size_t>(unread) - connection->unreadBytes;
        connection->unreadBytes = static_cast<std::size_t>(unread);
        if (activityOf(*connection) == CallerActivity::Reading
            && now - connection->movedAt > goneTime && isPeerGone(descriptor)) {
            ++m_counts.closedAsGone;
            close(connection);
        }
        return;
    }
    m_heldBytes -= std::exchange(connection->unreadBytes, 0);
    const kernel::Duration age = now - connection->requestSince;
    const bool isLate = connection->discarding
                            ? age > discardTime
                            : m_options != nullptr && !connection->http2
                                  && m_options->headTimeout > kernel::Duration::zero()
                                  && age > m_options->headTimeout
                                  && !holdsWholeHead(inputOf(*connection));
    if (!isLate)
        return;
    ++m_counts.closedForTime;
    close(connection);
}

std::vector<int> CallerConnections::descriptors() const
{
    std::vector<int> result;
    for (const auto &[socket, connection] : m_connections)
        result.push_back(h2o_socket_get_fd(socket));
    return result;
}

} // namespace acaciasail::http
