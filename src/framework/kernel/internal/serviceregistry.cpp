#include "kernel/internal/serviceregistry.h"

namespace acaciasail::kernel {

Result<void> ServiceRegistry::addEntry(const std::string &name, Entry entry)
{
    if (!m_entries.emplace(name, std::move(entry)).second)
        return fail(ResultCode::ServiceNameTaken, "service \"" + name + "\" is already registered");
    return {};
}

Result<std::shared_ptr<void>> ServiceRegistry::findEntry(const std::string &name,
                                                         std::type_index type) const
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end())
        return fail(ResultCode::ServiceNotFound, "service \"" + name + "\" is not registered");
    if (found->second.type != type) {
        return fail(ResultCode::ServiceTypeMismatch,
                    "service \"" + name + "\" is registered under another type");
    }
    return found->second.service;
}

} // namespace acaciasail::kernel
