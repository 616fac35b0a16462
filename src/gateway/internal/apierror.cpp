#include "gateway/internal/apierror.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace acaciasail::gateway {

namespace {

constexpr int firstServerError = 500;

// Returns the error type of the API, a coarse classification by HTTP status.
std::string_view typeOf(int httpStatus)
{
    switch (httpStatus) {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 404:
        return "not_found_error";
    case 429:
        return "rate_limit_error";
    default:
        return httpStatus >= firstServerError ? "server_error" : "invalid_request_error";
    }
}

} // namespace

ApiError makeApiError(kernel::ResultCode code, std::string message)
{
    return { code, std::move(message), kernel::describe(code).runState, std::nullopt };
}

ApiError makeApiError(const kernel::Error &error)
{
    return makeApiError(error.code, error.message);
}

std::string errorBody(const ApiError &error, const kernel::RequestId &request)
{
    const kernel::ResultCodeInfo &info = kernel::describe(error.code);
    const nlohmann::ordered_json body{ { "error",
                                         { { "message", error.message },
                                           { "type", typeOf(info.httpStatus) },
                                           { "code", info.name },
                                           { "number", kernel::toNumber(error.code) },
                                           { "run_state", kernel::toString(error.runState) },
                                           { "request_id", request.str() } } } };
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void sendError(http::Responder &responder, const ApiError &error, const kernel::RequestId &request)
{
    http::Headers headers{ { "content-type", "application/json" },
                           { "x-request-id", request.str() },
                           { "x-run-state", std::string(kernel::toString(error.runState)) } };
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count();
        headers.push_back({ "retry-after", std::to_string(std::max<std::int64_t>(seconds, 1)) });
    }
    responder.send(kernel::describe(error.code).httpStatus, headers, errorBody(error, request));
}

} // namespace acaciasail::gateway
