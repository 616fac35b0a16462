#pragma once

/// Stand-ins of all outside systems in one process on one loop.

#include <memory>
#include <string>
#include <vector>

#include "applicationrunner.h"
#include "listener.h"
#include "modelrunner.h"
#include "objectapi.h"
#include "platformservices.h"
#include "record.h"
#include "standinsettings.h"

namespace acaciasail::standins {

/// The platform, the runners, and the control listener that switches their faults.
class World
{
public:
    World(http::EventLoop &loop, StandinSettings settings);
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /// Opens all listeners. Errors: ListenFailed.
    kernel::Completion<kernel::Done> open();

    const kernel::Endpoint &platformEndpoint() const { return m_platform.endpoint(); }
    const kernel::Endpoint &controlEndpoint() const { return m_control.endpoint(); }
    ModelRunner *findModelRunner(const std::string &id);
    ApplicationRunner *findApplicationRunner(const std::string &id);
    const Record &record() const { return m_record; }
    ObjectApi &objects() { return m_objects; }
    PlatformServices &services() { return m_services; }

    /// Sets a fault from its JSON form (standins/README.md). Errors: InvalidField.
    kernel::Completion<kernel::Done> setFault(const std::string &json);

private:
    void handlePlatform(const http::ServerRequest &request, const ResponderPtr &responder);
    void handleControl(const http::ServerRequest &request, const ResponderPtr &responder);
    void resetRecord();

    http::EventLoop *m_loop;
    StandinSettings m_settings;
    Record m_record;
    RunnerContext m_context;
    ObjectApi m_objects;
    PlatformServices m_services;
    Listener m_platform;
    Listener m_control;
    std::vector<std::unique_ptr<ModelRunner>> m_models;
    std::vector<std::unique_ptr<ApplicationRunner>> m_applications;
};

} // namespace acaciasail::standins
