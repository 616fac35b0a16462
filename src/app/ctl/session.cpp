#include "ctl/session.h"

#include <memory>

namespace acaciasail::ctl {

namespace {

constexpr kernel::Duration daemonTimeout = std::chrono::seconds(5);
constexpr int httpOk = 200;

kernel::Completion<http::ClientResponse>
checkStatus(const kernel::Completion<http::ClientResponse> &response)
{
    if (response.ok() && response.value().head.status != httpOk) {
        return kernel::Error{ kernel::ResultCode::PlatformProtocol,
                              "status " + std::to_string(response.value().head.status) };
    }
    return response;
}

} // namespace

Session::Session(http::EventLoop &loop, const CtlOptions &options, std::ostream &out,
                 std::ostream &err)
    : m_options(options)
    , m_out(out)
    , m_err(err)
    , m_loop(loop)
    , m_client(m_loop)
{
    if (options.platform) {
        m_platform = externals::makePlatform(m_client, m_loop.scheduler(),
                                             { .endpoint = *options.platform });
    }
}

ExitCode Session::fail(const kernel::Error &error)
{
    m_err << "error " << kernel::toNumber(error.code) << " " << describe(error.code).name << ": "
          << error.message << "\n";
    return exitCodeOf(error.code);
}

std::optional<ExitCode> Session::requirePlatform()
{
    if (m_options.platform)
        return std::nullopt;
    return fail({ kernel::ResultCode::UsageError, "give --platform IP:PORT or --settings FILE" });
}

std::optional<ExitCode> Session::requireDaemons()
{
    if (!m_options.daemons.empty())
        return std::nullopt;
    return fail({ kernel::ResultCode::UsageError, "give --daemon IP:PORT or --settings FILE" });
}

std::vector<kernel::Completion<http::ClientResponse>> Session::askDaemons(const std::string &method,
                                                                          const std::string &path)
{
    using Answer = std::optional<kernel::Completion<http::ClientResponse>>;
    const auto answers = std::make_shared<std::vector<Answer>>(m_options.daemons.size());
    const auto waiting = std::make_shared<std::size_t>(answers->size());
    for (std::size_t i = 0; i < answers->size(); ++i) {
        http::ClientRequest request;
        request.endpoint = m_options.daemons[i];
        request.method = method;
        request.path = path;
        request.idleTimeout = daemonTimeout;
        m_client.fetch(request, [answers, waiting, i](const auto &response) {
            (*answers)[i] = checkStatus(response);
            --*waiting;
        });
    }
    m_loop.runUntil([&] { return *waiting == 0; }, 2 * daemonTimeout);
    std::vector<kernel::Completion<http::ClientResponse>> result;
    for (const Answer &answer : *answers) {
        result.push_back(answer.value_or(kernel::Completion<http::ClientResponse>(
            kernel::Error{ kernel::ResultCode::UpstreamTimeout, "no answer came" })));
    }
    return result;
}

} // namespace acaciasail::ctl
