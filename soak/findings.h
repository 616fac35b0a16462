#pragma once

#include <string>
#include <vector>

namespace acaciasail::soak {

/// Collects broken promises of one kind; the first ones are described.
class Findings
{
public:
    Findings(std::string promise, std::vector<std::string> &out)
        : m_promise(std::move(promise))
        , m_out(out)
    {}
    ~Findings()
    {
        if (m_count > maxShown)
            m_out.push_back(m_promise + ": " + std::to_string(m_count) + " in all");
    }
    Findings(const Findings &) = delete;
    Findings &operator=(const Findings &) = delete;

    void add(const std::string &what)
    {
        if (++m_count <= maxShown)
            m_out.push_back(m_promise + ": " + what);
    }

private:
    static constexpr std::size_t maxShown = 5;

    std::string m_promise;
    std::vector<std::string> &m_out;
    std::size_t m_count = 0;
};

} // namespace acaciasail::soak
