#include "caller.h"

namespace review {

std::string encode(const CallerRequest &request)
{
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host
           + "\r\nX-Attempt-Id: " + request.id
           + "\r\nX-Deadline-Ms: " + std::to_string(request.timeout.count())
           + "\r\nApi-Key: " + request.key + "\r\n" + request.moreHeaders
           + (request.method == "POST" ? "Content-Length: " + std::to_string(request.body.size())
                                             + "\r\n\r\n" + request.body
                                       : std::string("\r\n"));
}

Outcome call(Record &record, int port, const CallerRequest &request, Milliseconds patience)
{
    const auto startedAt = Clock::now();
    Outcome outcome;
    record.write("caller sends " + request.id);
    const Socket socket = connectTo(port, patience);
    if (socket.isOpen() && sendAll(socket, encode(request))) {
        MessageReader reader(socket);
        if (auto response = reader.readMessage(true, startedAt + patience)) {
            outcome.status = response->head.status();
            outcome.complete = response->complete;
            outcome.head = response->head;
            outcome.body = response->body;
        }
    }
    outcome.took = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt);
    record.write("caller of " + request.id + " got "
                 + (outcome.status == 0 ? "no response" : std::to_string(outcome.status))
                 + " after " + std::to_string(outcome.took.count()) + " ms");
    return outcome;
}

std::string smallConfiguration(int version, bool withPages)
{
    const std::string pages
        = R"(,{"Name":"r-look","Host":"desk.example","PathPrefix":"/look/","Kind":"safe",)"
          R"("TimeoutMs":800,"TargetLatencyMs":150,"Priority":2,"Service":"desk",)"
          R"("MaxAttempts":2,"Anonymous":false})";
    return R"({"Version":)" + std::to_string(version)
           + R"(,"Routes":[{"Name":"r-book","Host":"desk.example","PathPrefix":"/book/",)"
             R"("Kind":"unsafe","TimeoutMs":800,"TargetLatencyMs":150,"Priority":2,)"
             R"("Service":"desk","MaxAttempts":1,"Anonymous":false})"
           + (withPages ? pages : std::string())
           + R"(],"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":110,)"
             R"("Protocol":"h1","Tls":false}],)"
             R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
             R"("IdleTimeoutMs":15000},)"
             R"("Tenants":[{"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1}]})";
}

} // namespace review
