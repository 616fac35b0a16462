#pragma once

#include <memory>
#include <string>

#include "http/http.h"

namespace acaciasail::standins {

using ResponderPtr = std::shared_ptr<http::Responder>;

inline const http::Headers jsonHeaders{ { "content-type", "application/json" } };

/// Answers with a JSON body.
inline void sendJson(const ResponderPtr &responder, int status, const std::string &body)
{
    responder->send(status, jsonHeaders, body);
}

/// Answers with an error in the shape of the OpenAI API.
inline void sendError(const ResponderPtr &responder, int status, const std::string &code)
{
    sendJson(responder, status,
             R"({"error":{"code":")" + code + R"(","message":")" + code + "\"}}");
}

/// Breaks the connection after the request was taken in, so that its reply is lost.
inline void loseReply(const ResponderPtr &responder)
{
    responder->abort();
}

/// The value of a header of a request, or an empty text.
inline std::string headerOf(const http::ServerRequest &request, std::string_view name)
{
    return std::string(http::findHeader(request.headers, name).value_or(""));
}

} // namespace acaciasail::standins
