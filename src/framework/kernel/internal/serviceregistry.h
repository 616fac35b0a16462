#pragma once

#include <map>
#include <memory>
#include <string>
#include <typeindex>
#include <utility>

#include "kernel/internal/result.h"

namespace acaciasail::kernel {

/// The services of a process, found by name.
///
/// A name is bound once; looking it up under another type than it was bound with is an error.
class ServiceRegistry
{
public:
    /// Binds a service to a name. Errors: ServiceNameTaken.
    template<class Service>
    Result<void> add(const std::string &name, std::shared_ptr<Service> service)
    {
        return addEntry(name, Entry{ std::type_index(typeid(Service)), std::move(service) });
    }

    /// Finds the service of a name. Errors: ServiceNotFound, ServiceTypeMismatch.
    template<class Service>
    Result<std::shared_ptr<Service>> find(const std::string &name) const
    {
        auto entry = findEntry(name, std::type_index(typeid(Service)));
        if (!entry)
            return entry.error();
        return std::static_pointer_cast<Service>(entry.value());
    }

    /// Unbinds a name; an unknown one is ignored.
    void remove(const std::string &name) { m_entries.erase(name); }

private:
    struct Entry
    {
        std::type_index type;
        std::shared_ptr<void> service;
    };

    Result<void> addEntry(const std::string &name, Entry entry);
    Result<std::shared_ptr<void>> findEntry(const std::string &name, std::type_index type) const;

    std::map<std::string, Entry> m_entries;
};

} // namespace acaciasail::kernel
