#include "externals/internal/objectwatch.h"

#include <optional>
#include <utility>

#include "externals/internal/replies.h"

namespace acaciasail::externals {

namespace {

using kernel::Error;
using kernel::ResultCode;

constexpr int silentHeartbeats = 3;
// A value of a mebibyte in which each byte is escaped as six, and the rest of the line.
constexpr std::size_t maxLineBytes = 7U << 20U;
constexpr int httpOk = 200;

// One watch: cuts the body into lines and reports each as a change.
class ObjectWatch : public std::enable_shared_from_this<ObjectWatch>
{
public:
    ObjectWatch(const kernel::Scheduler &scheduler, WatchHandlers handlers)
        : m_scheduler(scheduler)
        , m_handlers(std::move(handlers))
    {}

    void start(http::Client &client, const http::ClientRequest &request)
    {
        const std::weak_ptr<ObjectWatch> weak = weak_from_this();
        http::ClientHandlers handlers;
        handlers.onHead = [weak](const http::ClientHead &head) {
            if (const auto watch = weak.lock())
                watch->m_status = head.status;
        };
        handlers.onBody = [weak](std::string_view piece) {
            if (const auto watch = weak.lock())
                watch->onBody(piece);
        };
        handlers.onEnd = [weak](const kernel::Completion<kernel::Done> &end) {
            if (const auto watch = weak.lock())
                watch->onHttpEnd(end);
        };
        m_exchange = client.send(request, std::move(handlers));
    }

    // Ends the exchange, outside of its own handlers.
    void stop()
    {
        m_ended = true;
        if (m_exchange == nullptr)
            return;
        if (!m_inHandler) {
            m_exchange = nullptr;
            return;
        }
        m_scheduler.startTimer(
            {}, [exchange = std::shared_ptr<http::Exchange>(std::move(m_exchange))] {});
    }

private:
    void onBody(std::string_view piece)
    {
        if (m_ended || m_status != httpOk)
            return;
        m_inHandler = true;
        m_buffer.append(piece);
        std::size_t begin = 0;
        while (!m_ended) {
            const std::size_t end = m_buffer.find('\n', begin);
            if (end == std::string::npos)
                break;
            onLine(std::string_view(m_buffer).substr(begin, end - begin));
            begin = end + 1;
        }
        m_buffer.erase(0, begin);
        if (!m_ended && m_buffer.size() > maxLineBytes)
            end({ ResultCode::PlatformProtocol, "a watch's line is longer than any object" });
        m_inHandler = false;
    }

    void onLine(std::string_view line)
    {
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty())
            return;
        const auto object = parseObject(line);
        if (object.ok())
            m_handlers.onChange(object.value());
        else
            end(object.error());
    }

    void onHttpEnd(const kernel::Completion<kernel::Done> &result)
    {
        if (m_ended)
            return;
        m_inHandler = true;
        if (!result.ok())
            end(transportError(CallKind::Read, result.error()));
        else if (m_status != httpOk)
            end(statusError(CallKind::Read, m_status, "the watch"));
        else
            end({ ResultCode::PlatformUnreachable, "the platform ended the watch" });
        m_inHandler = false;
    }

    void end(const Error &error)
    {
        stop();
        if (m_handlers.onEnd)
            m_handlers.onEnd(error);
    }

    const kernel::Scheduler &m_scheduler;
    WatchHandlers m_handlers;
    std::unique_ptr<http::Exchange> m_exchange;
    std::string m_buffer;
    int m_status = 0;
    bool m_ended = false;
    bool m_inHandler = false;
};

} // namespace

WatchHandle startWatch(http::Client &client, const kernel::Scheduler &scheduler,
                       const PlatformOptions &options, const std::string &prefix,
                       kernel::Revision after, WatchHandlers handlers)
{
    http::ClientRequest request;
    request.endpoint = options.endpoint;
    request.path = "/watch?prefix=" + http::percentEncode(prefix, keyCharacters)
                   + "&after=" + std::to_string(after.count());
    request.connectTimeout = options.connectTimeout;
    request.idleTimeout = options.watchHeartbeat * silentHeartbeats;
    auto watch = std::make_shared<ObjectWatch>(scheduler, std::move(handlers));
    watch->start(client, request);
    // The handle's deleter ends the watch, also from within one of its own handlers.
    ObjectWatch *const address = watch.get();
    return { address, [watch = std::move(watch)](void *) { watch->stop(); } };
}

} // namespace acaciasail::externals
