#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::metrics {

/// A label of a metric.
struct Label
{
    std::string name;
    std::string value;
};

using Labels = std::vector<Label>;

/// A number that only grows.
class Counter
{
public:
    void add(std::uint64_t count = 1) { m_value += count; }
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

/// Times, counted in buckets of a logarithmic scale from 0.1 ms to 100 s.
class TimeHistogram
{
public:
    TimeHistogram();
    ~TimeHistogram();
    TimeHistogram(const TimeHistogram &) = delete;
    TimeHistogram &operator=(const TimeHistogram &) = delete;

    void add(kernel::Duration duration);
    std::uint64_t count() const { return m_count; }
    /// A time that the given part of the times does not exceed, to the bucket's upper edge.
    kernel::Duration quantile(double part) const;
    /// Number of times up to each bucket's upper edge in seconds, smallest first.
    struct Bucket
    {
        double upperSeconds;
        std::uint64_t cumulative;
    };
    std::vector<Bucket> buckets() const;
    double sumSeconds() const { return m_sumSeconds; }

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

/// All metrics of a process. Metrics live as long as the registry.
class Registry
{
public:
    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    /// The counter of a name and labels; made at the first call.
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    TimeHistogram &histogram(const std::string &name, const std::string &help,
                             const Labels &labels = {});
    /// A number that is asked for when the metrics are written.
    void gauge(const std::string &name, const std::string &help, std::function<double()> value);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::metrics
