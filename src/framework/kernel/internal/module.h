#pragma once

#include <functional>
#include <string>
#include <vector>

#include "kernel/internal/result.h"
#include "kernel/internal/serviceregistry.h"

namespace acaciasail::kernel {

/// A library's part in a process: how its services are registered and taken away.
struct Module
{
    std::string name;
    /// Registers the module's services; those of earlier modules can be found.
    std::function<Result<void>(ServiceRegistry &)> init;
    /// Ends the module's work and unregisters its services; those of earlier modules still stand.
    std::function<void(ServiceRegistry &)> shutdown;
};

/// Starts modules in the order given and stops them in the reverse order.
class ModuleRunner
{
public:
    ModuleRunner() = default;
    ModuleRunner(const ModuleRunner &) = delete;
    ModuleRunner &operator=(const ModuleRunner &) = delete;
    ~ModuleRunner() { shutdown(); }

    /// Starts all modules; when one fails, the ones before it are stopped. Errors: the module's.
    Result<void> init(std::vector<Module> modules);

    /// Stops the modules that run; a second call does nothing.
    void shutdown();

    ServiceRegistry &services() { return m_services; }

private:
    ServiceRegistry m_services;
    std::vector<Module> m_running;
};

} // namespace acaciasail::kernel
