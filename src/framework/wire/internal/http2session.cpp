#include "wire/internal/http2session.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nghttp2/nghttp2.h>

#include "wire/internal/h2oheaders.h"

namespace acaciasail::wire {

namespace {

// Streams that a peer may have open at the same time; further calls wait at the sender.
constexpr std::uint32_t maxConcurrentStreams = 256;
constexpr std::uint32_t streamWindowBytes = 1U << 20U;
constexpr std::int32_t connectionWindowBytes = 4 << 20;

// HTTP/2 bytes handed to the socket at a time.
constexpr std::size_t writeChunkBytes = 128U << 10U;

std::vector<nghttp2_nv> toFields(const std::vector<SessionHeader> &headers)
{
    std::vector<nghttp2_nv> fields;
    fields.reserve(headers.size());
    for (const SessionHeader &header : headers) {
        // nghttp2 copies the bytes before the call returns.
        auto *name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(header.name.data()));
        auto *value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(header.value.data()));
        fields.push_back(
            { name, value, header.name.size(), header.value.size(), NGHTTP2_NV_FLAG_NONE });
    }
    return fields;
}

std::string_view toView(const std::uint8_t *bytes, std::size_t length)
{
    return { reinterpret_cast<const char *>(bytes), length };
}

} // namespace

/// The functions that nghttp2 calls; `user` is the session.
struct SessionCallbacks
{
    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                        std::uint8_t, void *user)
    {
        self(user).m_events.onHeader(frame->hd.stream_id, toView(name, nameLength),
                                     toView(value, valueLength));
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t stream,
                      const std::uint8_t *bytes, std::size_t length, void *user)
    {
        self(user).m_events.onData(stream, toView(bytes, length));
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            self(user).m_events.onEnd(frame->hd.stream_id);
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t stream, std::uint32_t error,
                             void *user)
    {
        self(user).dropBody(stream);
        self(user).m_events.onStreamClosed(stream, error == NGHTTP2_REFUSED_STREAM);
        return 0;
    }

    static ssize_t readBody(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer,
                            std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                            void *user)
    {
        const auto found = self(user).m_bodies.find(stream);
        if (found == self(user).m_bodies.end())
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        Body &body = found->second;
        const std::size_t count = std::min(length, body.bytes.size() - body.sent);
        std::copy_n(body.bytes.begin() + static_cast<std::ptrdiff_t>(body.sent), count, buffer);
        body.sent += count;
        self(user).m_queuedBytes -= count;
        if (body.sent == body.bytes.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }

    static nghttp2_session *makeSession(Http2Session::Role role, Http2Session *user)
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        const kernel::ScopeGuard freeCallbacks(
            [callbacks] { nghttp2_session_callbacks_del(callbacks); });
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
        nghttp2_session *session = nullptr;
        if (role == Http2Session::Role::Client)
            nghttp2_session_client_new(&session, callbacks, user);
        else
            nghttp2_session_server_new(&session, callbacks, user);
        return session;
    }

private:
    using Body = Http2Session::Body;

    static Http2Session &self(void *user) { return *static_cast<Http2Session *>(user); }
};

Http2Session::Http2Session(Role role, st_h2o_socket_t *socket, std::size_t maxMessageBytes,
                           TransportTraffic &traffic)
    : m_socket(socket)
    , m_session(SessionCallbacks::makeSession(role, this))
    , m_traffic(traffic)
{
    const std::uint32_t window
        = std::max(streamWindowBytes, static_cast<std::uint32_t>(maxMessageBytes));
    const std::array<nghttp2_settings_entry, 3> settings{ {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    } };
    // A server has no say in pushes.
    const std::size_t count = role == Role::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

Http2Session::~Http2Session()
{
    if (m_socket != nullptr)
        h2o_socket_close(m_socket);
    if (m_session != nullptr)
        nghttp2_session_del(m_session);
}

void Http2Session::start(SessionEvents events)
{
    m_events = std::move(events);
    m_socket->data = this;
    h2o_socket_read_start(m_socket, [](h2o_socket_t *socket, const char *error) {
        const std::shared_ptr<Http2Session> session
            = static_cast<Http2Session *>(socket->data)->shared_from_this();
        if (error != nullptr)
            session->close();
        else
            session->receive();
    });
    flush();
}

void Http2Session::receive()
{
    const std::size_t length = m_socket->input->size;
    if (length == 0)
        return;
    m_received += length;
    m_traffic.bytesIn += length;
    m_busy = true;
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(m_socket->input->bytes);
    const ssize_t taken = nghttp2_session_mem_recv(m_session, bytes, length);
    m_busy = false;
    h2o_buffer_consume(&m_socket->input, length);
    if (taken < 0 || m_closeWanted) {
        close();
        return;
    }
    flush();
}

void Http2Session::flush()
{
    if (m_busy || m_writeInProgress || closed())
        return;
    m_writing.clear();
    m_busy = true;
    while (m_writing.size() < writeChunkBytes) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t length = nghttp2_session_mem_send(m_session, &bytes);
        if (length < 0)
            m_closeWanted = true;
        if (length <= 0)
            break;
        m_writing.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(length));
    }
    m_busy = false;
    const bool over = nghttp2_session_want_read(m_session) == 0
                      && nghttp2_session_want_write(m_session) == 0 && m_writing.empty();
    if (m_closeWanted || over)
        close();
    else if (!m_writing.empty())
        writeNext();
}

void Http2Session::writeNext()
{
    m_writeInProgress = true;
    m_traffic.bytesOut += m_writing.size();
    h2o_iovec_t buffer = h2o_iovec_init(m_writing.data(), m_writing.size());
    h2o_socket_write(m_socket, &buffer, 1, [](h2o_socket_t *socket, const char *error) {
        const std::shared_ptr<Http2Session> session
            = static_cast<Http2Session *>(socket->data)->shared_from_this();
        session->m_writeInProgress = false;
        if (error != nullptr)
            session->close();
        else
            session->flush();
    });
}

std::int32_t Http2Session::request(const std::vector<SessionHeader> &headers, std::string body)
{
    if (closed() || m_closeWanted)
        return 0;
    const std::vector<nghttp2_nv> fields = toFields(headers);
    nghttp2_data_provider provider{};
    provider.read_callback = SessionCallbacks::readBody;
    const std::int32_t stream = nghttp2_submit_request(m_session, nullptr, fields.data(),
                                                       fields.size(), &provider, nullptr);
    if (stream <= 0)
        return 0;
    m_queuedBytes += body.size();
    m_bodies[stream].bytes = std::move(body);
    flush();
    return stream;
}

void Http2Session::respond(std::int32_t stream, const std::vector<SessionHeader> &headers,
                           std::string body)
{
    if (closed() || m_closeWanted)
        return;
    const std::vector<nghttp2_nv> fields = toFields(headers);
    nghttp2_data_provider provider{};
    provider.read_callback = SessionCallbacks::readBody;
    m_queuedBytes += body.size();
    m_bodies[stream].bytes = std::move(body);
    if (nghttp2_submit_response(m_session, stream, fields.data(), fields.size(), &provider) != 0)
        dropBody(stream);
    flush();
}

void Http2Session::dropBody(std::int32_t stream)
{
    const auto found = m_bodies.find(stream);
    if (found == m_bodies.end())
        return;
    m_queuedBytes -= found->second.bytes.size() - found->second.sent;
    m_bodies.erase(found);
}

void Http2Session::cancel(std::int32_t stream)
{
    if (closed() || m_closeWanted)
        return;
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    flush();
}

void Http2Session::ping()
{
    if (closed() || m_closeWanted)
        return;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void Http2Session::close()
{
    if (closed())
        return;
    if (m_busy) {
        m_closeWanted = true;
        return;
    }
    finishClose();
}

void Http2Session::finishClose()
{
    const std::shared_ptr<Http2Session> keep = shared_from_this();
    h2o_socket_close(std::exchange(m_socket, nullptr));
    nghttp2_session_del(std::exchange(m_session, nullptr));
    m_bodies.clear();
    m_queuedBytes = 0;
    const SessionEvents events = std::exchange(m_events, {});
    if (events.onClosed)
        events.onClosed();
}

} // namespace acaciasail::wire
