#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/internal/gateway.h"
#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::gateway {

/// The status of a daemon as shown to operators.
struct DaemonStatus
{
    kernel::VmId vm;
    kernel::DataCentreId dataCentre;
    /// Revision and number of rows of the current configuration table.
    kernel::Revision revision;
    std::size_t rows = 0;
    std::vector<std::string> rejectedRows;
    std::vector<std::string> peers;
    std::size_t requestsInProgress = 0;
    bool draining = false;
    /// Whether the configuration store is reachable.
    bool storeUp = false;
    /// Time since the table was last known to match the store; negative if the table has never been
    /// known to match it.
    kernel::Duration tableAge{ -1 };
    bool ready = false;
};

/// Functions of the daemon that the operators' interface uses.
struct AdminCallbacks
{
    std::function<DaemonStatus()> status;
    std::function<void()> drain;
};

/// The operators' HTTP interface: status, metrics, logged events of a request, drain and health
/// checks.
class AdminApi
{
public:
    AdminApi(Gateway &gateway, AdminCallbacks ports);

    void handle(const http::ServerRequest &request, http::Responder &responder);

private:
    /// Sends the recent log events of the request that the query names.
    void sendLoggedEvents(const http::ServerRequest &request, http::Responder &responder);

    Gateway &m_gateway;
    AdminCallbacks m_ports;
};

} // namespace acaciasail::gateway
