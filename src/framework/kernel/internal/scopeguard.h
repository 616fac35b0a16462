#pragma once

#include <utility>

namespace acaciasail::kernel {

/// Runs a function when its scope ends, unless dismissed.
template<class Function>
class ScopeGuard
{
public:
    explicit ScopeGuard(Function function)
        : m_function(std::move(function))
    {}
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;
    ~ScopeGuard()
    {
        if (m_armed)
            m_function();
    }

    void dismiss() { m_armed = false; }

private:
    Function m_function;
    bool m_armed = true;
};

} // namespace acaciasail::kernel
