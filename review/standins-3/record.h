#pragma once

#include <fstream>
#include <map>
#include <mutex>
#include <string>

#include "wire.h"

namespace review {

/// What was sent, answered and run, as lines of a file.
class Record
{
public:
    /// Begins the file anew, or adds to it.
    explicit Record(const std::string &file, std::ios::openmode mode = std::ios::trunc)
        : m_startedAt(Clock::now())
        , m_file(file, std::ios::out | mode)
    {}

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt);
        m_file << ms.count() << " ms " << line << std::endl;
    }

    /// Notes that a request began to run at a runner.
    void writeRun(const std::string &request, const std::string &runner)
    {
        write("runner " + runner + " runs " + request);
        const std::lock_guard lock(m_mutex);
        ++m_runs[request];
    }

    std::map<std::string, int> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    Clock::time_point m_startedAt;
    std::ofstream m_file;
    std::map<std::string, int> m_runs;
};

} // namespace review
