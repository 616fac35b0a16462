#include "http/internal/directresponder.h"

#include <utility>

#include <sys/socket.h>

#include "http/internal/responder.h"

namespace acaciasail::http {

void DirectResponder::send(int status, const Headers &headers, std::string_view body)
{
    const int descriptor = std::exchange(m_descriptor, -1);
    if (descriptor < 0)
        return;
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status)
                       + "\r\nconnection: close\r\ncontent-length: " + std::to_string(body.size())
                       + "\r\n";
    for (const Header &header : headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    text.append("\r\n").append(body);
    (void) ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(descriptor, SHUT_WR);
}

void DirectResponder::start(int, const Headers &)
{
    abort();
}

void DirectResponder::abort()
{
    if (m_descriptor >= 0)
        shutdown(std::exchange(m_descriptor, -1), SHUT_WR);
}

} // namespace acaciasail::http
