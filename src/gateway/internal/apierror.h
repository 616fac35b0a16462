#pragma once

#include <memory>
#include <optional>
#include <string>

#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::gateway {

/// An error as returned to a caller: a refusal or a failure.
struct ApiError
{
    kernel::ResultCode code = kernel::ResultCode::InternalError;
    std::string message;
    kernel::RunState runState = kernel::RunState::NotRun;
    /// Time after which the caller should retry.
    std::optional<kernel::Duration> retryAfter;
};

/// Returns an error with the default run state of its result code.
ApiError makeApiError(kernel::ResultCode code, std::string message);
ApiError makeApiError(const kernel::Error &error);

/// Returns the error in the JSON format of the API:
/// {"error":{"message","type","code","number","run_state","request_id"}}.
std::string errorBody(const ApiError &error, const kernel::RequestId &request);

/// Sends an error as the response to a request. No part of a response may have been sent before.
void sendError(http::Responder &responder, const ApiError &error, const kernel::RequestId &request);

} // namespace acaciasail::gateway
