#include "runner.h"

#include <utility>

namespace review {

namespace {

constexpr std::chrono::hours connectionTime{ 1 };

} // namespace

Runner::Runner(Record &record, std::string id, int port)
    : m_record(record)
    , m_id(std::move(id))
    , m_port(port)
    , m_listener(listenOnLoopback(m_port))
    , m_acceptor([this] { serve(); })
{}

Runner::~Runner()
{
    shutDown(m_listener);
    m_acceptor.join();
}

void Runner::registerAt(Store &store, const std::string &service, const std::string &state,
                        int slots, std::int64_t born) const
{
    store.put("servers", m_id,
              R"({"Service":")" + service + R"(","Address":"127.0.0.1:)" + std::to_string(m_port)
                  + R"(","Zone":"zone-a","Version":"v1","Slots":)" + std::to_string(slots)
                  + R"(,"State":")" + state + R"(","ColdLeftMs":0,"Seq":4,"born":)"
                  + std::to_string(born) + "}");
}

void Runner::recordRun(const std::string &id)
{
    m_record.writeRun(id, m_id);
}

bool Runner::respond(Socket &socket, const std::string &id, int status, const std::string &body,
                     const std::string &moreHeaders) const
{
    return sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " Answer\r\nx-attempt-id: " + id
                               + "\r\nx-response-stamp: " + stamp() + "\r\n" + moreHeaders
                               + "content-length: " + std::to_string(body.size()) + "\r\n\r\n"
                               + body);
}

// The threads of connections end with their connections, at the latest with the process.
void Runner::serve()
{
    while (true) {
        Socket socket = acceptFrom(m_listener);
        if (!socket.isOpen())
            return;
        std::thread([this, connection = std::move(socket)]() mutable {
            serveConnection(std::move(connection));
        }).detach();
    }
}

void Runner::serveConnection(Socket socket)
{
    MessageReader reader(socket);
    while (true) {
        const auto request = reader.readMessage(false, Clock::now() + connectionTime);
        if (!request || !request->complete)
            return;
        const std::string id = request->head.header("x-attempt-id");
        const std::string expected = request->head.header("x-expect-instance");
        if (!expected.empty() && expected != m_id) {
            sendAll(socket, "HTTP/1.1 421 Misdirected\r\nx-attempt-id: " + id
                                + "\r\nx-instance-id: " + m_id + "\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        if (m_handler) {
            if (!m_handler({ *request, socket, id }))
                return;
            continue;
        }
        recordRun(id);
        std::this_thread::sleep_for(m_work);
        if (!respond(socket, id, 200, "answer to " + id))
            return;
    }
}

} // namespace review
