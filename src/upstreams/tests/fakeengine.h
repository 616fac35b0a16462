#pragma once

#include <memory>
#include <string>
#include <vector>

#include "upstreams/upstreams.h"

namespace acaciasail::upstreams {

/// Fake HTTP client. The test supplies the responses itself.
class FakeHttp
{
public:
    /// A request that was sent.
    struct Call
    {
        http::ClientRequest request;
        http::ClientHandlers handlers;
        bool cancelled = false;
    };

    HttpSender sender()
    {
        return [this](const http::ClientRequest &request, http::ClientHandlers handlers) {
            auto call = std::make_shared<Call>(Call{ request, std::move(handlers) });
            if (request.path == "/v1/load")
                probes.push_back(call);
            else
                calls.push_back(call);
            return std::make_unique<FakeExchange>(call);
        };
    }

    Call &last() { return *calls.back(); }

    static std::string header(const Call &call, const std::string &name)
    {
        for (const auto &header : call.request.headers) {
            if (header.name == name)
                return header.value;
        }
        return {};
    }

    static void sendHead(Call &call, int status)
    {
        call.handlers.onSent();
        call.handlers.onHead({ status,
                               { { "x-request-id", header(call, "x-request-id") },
                                 { "x-attempt-id", header(call, "x-attempt-id") } } });
    }

    /// Returns an event with one token of the given call.
    static std::string tokenEvent(const Call &call, std::int64_t index, const std::string &text)
    {
        return R"(data: {"request":")" + header(call, "x-request-id") + R"(","attempt":")"
               + header(call, "x-attempt-id") + R"(","token_index":)" + std::to_string(index)
               + R"(,"choices":[{"index":0,"delta":{"content":")" + text + R"("}}]})" + "\n\n";
    }

    static std::string finishEvent(const Call &call, std::int64_t index)
    {
        return R"(data: {"request":")" + header(call, "x-request-id") + R"(","attempt":")"
               + header(call, "x-attempt-id") + R"(","token_index":)" + std::to_string(index)
               + R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],)"
               + R"("usage":{"prompt_tokens":7,"completion_tokens":)" + std::to_string(index) + "}}"
               + "\n\ndata: [DONE]\n\n";
    }

    static void end(Call &call) { call.handlers.onEnd(kernel::Done{}); }
    static void fail(Call &call, kernel::ResultCode code)
    {
        call.handlers.onEnd(kernel::Error{ code, "the test made the call fail" });
    }

    std::vector<std::shared_ptr<Call>> calls;
    std::vector<std::shared_ptr<Call>> probes;

private:
    class FakeExchange : public http::Exchange
    {
    public:
        explicit FakeExchange(std::shared_ptr<Call> call)
            : m_call(std::move(call))
        {}
        FakeExchange(const FakeExchange &) = delete;
        FakeExchange &operator=(const FakeExchange &) = delete;
        ~FakeExchange() override { m_call->cancelled = true; }

    private:
        std::shared_ptr<Call> m_call;
    };
};

} // namespace acaciasail::upstreams
