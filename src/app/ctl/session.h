#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/options.h"
#include "externals/externals.h"
#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::ctl {

/// What the commands share: the loop, the platform, and where they print.
class Session
{
public:
    /// The loop and the streams must outlive the session.
    Session(http::EventLoop &loop, const CtlOptions &options, std::ostream &out, std::ostream &err);

    const CtlOptions &options() const { return m_options; }
    std::ostream &out() { return m_out; }
    std::ostream &err() { return m_err; }
    http::EventLoop &loop() { return m_loop; }
    externals::Platform &platform() { return m_platform; }

    /// Prints an error and gives its exit code.
    ExitCode fail(const kernel::Error &error);
    /// Fails where the command needs the platform and no address of it is known.
    std::optional<ExitCode> requirePlatform();
    std::optional<ExitCode> requireDaemons();

    /// Runs the loop until a call has ended, and gives its outcome.
    template<class Value>
    kernel::Completion<Value> wait(const std::function<void(kernel::Callback<Value>)> &call)
    {
        const auto outcome = std::make_shared<std::optional<kernel::Completion<Value>>>();
        call([outcome](const kernel::Completion<Value> &result) { *outcome = result; });
        constexpr kernel::Duration longestCall = std::chrono::minutes(2);
        m_loop.runUntil([&] { return outcome->has_value(); }, longestCall);
        if (outcome->has_value())
            return **outcome;
        return kernel::Error{ kernel::ResultCode::PlatformUnreachable, "no answer came" };
    }

    /// The answers of all daemons to one request, in the order of their addresses.
    std::vector<kernel::Completion<http::ClientResponse>> askDaemons(const std::string &method,
                                                                     const std::string &path);

private:
    CtlOptions m_options;
    std::ostream &m_out;
    std::ostream &m_err;
    http::EventLoop &m_loop;
    http::Client m_client;
    externals::Platform m_platform;
};

} // namespace acaciasail::ctl
