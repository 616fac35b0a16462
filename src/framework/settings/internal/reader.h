#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::settings {

/// One mistake in a settings file.
struct Mistake
{
    std::string file;
    /// Line in the file, from 1; 0 for a key that is missing.
    int line = 0;
    /// Dotted path, such as "callers.listen".
    std::string key;
    std::string message;
};

/// "FILE:LINE: KEY: MESSAGE".
std::string toString(const Mistake &mistake);

/// Whole numbers that a key may have.
struct IntegerRange
{
    std::int64_t min;
    std::int64_t max;
};

/// Reads keys by their dotted paths and collects all mistakes.
///
/// A key with a default may be missing. A wrong value is noted as a mistake and the default is
/// returned, so that one pass finds them all.
class Reader
{
public:
    /// Reads a file. Errors: SettingsUnreadable, with the line of a TOML fault.
    static kernel::Result<Reader> open(const std::string &file);
    /// Reads a text; `name` stands for the file in mistakes. Errors: SettingsUnreadable.
    static kernel::Result<Reader> parse(const std::string &text, const std::string &name);

    Reader(Reader &&other) noexcept;
    Reader &operator=(Reader &&other) noexcept;
    ~Reader();

    bool has(const std::string &key) const;

    std::string text(const std::string &key, const std::string &fallback);
    std::string requiredText(const std::string &key);
    std::int64_t integer(const std::string &key, std::int64_t fallback, IntegerRange range);
    /// A whole number or a fraction.
    double number(const std::string &key, double fallback);
    bool flag(const std::string &key, bool fallback);
    /// A whole number of milliseconds.
    kernel::Duration milliseconds(const std::string &key, kernel::Duration fallback,
                                  IntegerRange range);
    /// "IP:PORT" or "[IPV6]:PORT".
    kernel::Endpoint endpoint(const std::string &key, const kernel::Endpoint &fallback);
    kernel::Endpoint requiredEndpoint(const std::string &key);
    std::vector<kernel::Endpoint> endpoints(const std::string &key);

    /// The keys that were asked for until now, in order.
    std::vector<std::string> askedKeys() const;

    /// Notes a mistake found by the reader's user in a key's value.
    void reject(const std::string &key, const std::string &message);

    /// All mistakes, with the keys that nobody asked for, in order of line.
    std::vector<Mistake> finish();

private:
    struct Impl;
    explicit Reader(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// Reads "IP:PORT" or "[IPV6]:PORT".
std::optional<kernel::Endpoint> parseEndpoint(std::string_view text);

} // namespace acaciasail::settings
