#include "metrics/internal/registry.h"

#include <map>
#include <sstream>

#include <boost/histogram.hpp>

namespace acaciasail::metrics {

namespace {

constexpr int bucketCount = 48;
constexpr double smallestSeconds = 1e-4;
constexpr double largestSeconds = 100;

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LogHistogram = decltype(boost::histogram::make_histogram(LogAxis()));

std::string escape(const std::string &value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

std::string formatLabels(const Labels &labels)
{
    std::string text;
    for (const Label &label : labels) {
        text += text.empty() ? "" : ",";
        text += label.name + "=\"" + escape(label.value) + "\"";
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

void writeHistogram(std::ostream &out, const std::string &name, const std::string &labels,
                    const TimeHistogram &histogram)
{
    const std::string separator = labels.empty() ? "" : ",";
    for (const TimeHistogram::Bucket &bucket : histogram.buckets()) {
        out << name << "_bucket{" << labels << separator << "le=\"" << bucket.upperSeconds << "\"} "
            << bucket.cumulative << "\n";
    }
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << histogram.count() << "\n"
        << name << "_sum" << braced(labels) << " " << histogram.sumSeconds() << "\n"
        << name << "_count" << braced(labels) << " " << histogram.count() << "\n";
}

} // namespace

struct TimeHistogram::Impl
{
    LogHistogram histogram
        = boost::histogram::make_histogram(LogAxis(bucketCount, smallestSeconds, largestSeconds));
};

TimeHistogram::TimeHistogram()
    : m_impl(std::make_unique<Impl>())
{}
TimeHistogram::~TimeHistogram() = default;

void TimeHistogram::add(kernel::Duration duration)
{
    const double seconds = kernel::toSeconds(duration);
    m_impl->histogram(seconds);
    m_sumSeconds += seconds;
    ++m_count;
}

std::vector<TimeHistogram::Bucket> TimeHistogram::buckets() const
{
    std::vector<Bucket> result;
    std::uint64_t cumulative = static_cast<std::uint64_t>(m_impl->histogram.at(-1));
    for (int i = 0; i < bucketCount; ++i) {
        cumulative += static_cast<std::uint64_t>(m_impl->histogram.at(i));
        result.push_back({ m_impl->histogram.axis().bin(i).upper(), cumulative });
    }
    return result;
}

kernel::Duration TimeHistogram::quantile(double part) const
{
    const double wanted = part * static_cast<double>(m_count);
    for (const Bucket &bucket : buckets()) {
        if (static_cast<double>(bucket.cumulative) >= wanted)
            return kernel::fromSeconds(bucket.upperSeconds);
    }
    return kernel::fromSeconds(largestSeconds);
}

struct Registry::Impl
{
    struct Family
    {
        std::string help;
        std::string type;
        std::map<std::string, Counter> counters;
        std::map<std::string, TimeHistogram> histograms;
        std::function<double()> gauge;
    };

    Family &family(const std::string &name, const std::string &help, const std::string &type)
    {
        Family &found = families[name];
        found.help = help;
        found.type = type;
        return found;
    }

    std::map<std::string, Family> families;
};

Registry::Registry()
    : m_impl(std::make_unique<Impl>())
{}
Registry::~Registry() = default;

Counter &Registry::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    return m_impl->family(name, help, "counter").counters[formatLabels(labels)];
}

TimeHistogram &Registry::histogram(const std::string &name, const std::string &help,
                                   const Labels &labels)
{
    return m_impl->family(name, help, "histogram").histograms[formatLabels(labels)];
}

void Registry::gauge(const std::string &name, const std::string &help,
                     std::function<double()> value)
{
    m_impl->family(name, help, "gauge").gauge = std::move(value);
}

std::string Registry::text() const
{
    std::ostringstream out;
    for (const auto &[name, family] : m_impl->families) {
        out << "# HELP " << name << " " << family.help << "\n"
            << "# TYPE " << name << " " << family.type << "\n";
        if (family.gauge)
            out << name << " " << family.gauge() << "\n";
        for (const auto &[labels, counter] : family.counters)
            out << name << braced(labels) << " " << counter.value() << "\n";
        for (const auto &[labels, histogram] : family.histograms)
            writeHistogram(out, name, labels, histogram);
    }
    return out.str();
}

} // namespace acaciasail::metrics
