#include "kernel/internal/module.h"

#include <utility>

namespace acaciasail::kernel {

Result<void> ModuleRunner::init(std::vector<Module> modules)
{
    for (Module &module : modules) {
        auto started = module.init(m_services);
        if (!started) {
            shutdown();
            return started.error();
        }
        m_running.push_back(std::move(module));
    }
    return {};
}

void ModuleRunner::shutdown()
{
    while (!m_running.empty()) {
        const Module module = std::move(m_running.back());
        m_running.pop_back();
        if (module.shutdown)
            module.shutdown(m_services);
    }
}

} // namespace acaciasail::kernel
