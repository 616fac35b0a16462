#include "settings/internal/reader.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <toml++/toml.h>

namespace acaciasail::settings {

namespace {

constexpr int maxPort = 65535;

std::string describeParseError(const std::string &file, const toml::parse_error &error)
{
    std::ostringstream text;
    text << file << ":" << error.source().begin.line << ": " << error.description();
    return text.str();
}

bool isIpNumber(const std::string &text)
{
    in6_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1
           || inet_pton(AF_INET6, text.c_str(), &address) == 1;
}

void collectKeys(const toml::table &table, const std::string &prefix,
                 std::vector<std::pair<std::string, const toml::node *>> &keys)
{
    for (const auto &[key, node] : table) {
        const std::string path = prefix + std::string(key.str());
        if (const toml::table *inner = node.as_table())
            collectKeys(*inner, path + ".", keys);
        else
            keys.emplace_back(path, &node);
    }
}

} // namespace

std::string toString(const Mistake &mistake)
{
    std::ostringstream text;
    text << mistake.file << ":";
    if (mistake.line > 0)
        text << mistake.line << ":";
    text << " " << mistake.key << ": " << mistake.message;
    return text.str();
}

std::optional<kernel::Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string ip(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    int port = -1;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool portRead = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (!isIpNumber(ip) || !portRead || port < 0 || port > maxPort)
        return std::nullopt;
    return kernel::Endpoint{ ip, static_cast<unsigned short>(port) };
}

struct Reader::Impl
{
    std::string file;
    toml::table table;
    std::set<std::string> asked;
    std::vector<Mistake> mistakes;

    const toml::node *find(const std::string &key)
    {
        asked.insert(key);
        return table.at_path(key).node();
    }

    void note(const std::string &key, const toml::node *node, const std::string &message)
    {
        const int line = node != nullptr ? static_cast<int>(node->source().begin.line) : 0;
        mistakes.push_back({ file, line, key, message });
    }

    // The value of a key, or nothing when it is missing or of another type.
    template<class Value>
    std::optional<Value> value(const std::string &key, const char *type)
    {
        const toml::node *node = find(key);
        if (node == nullptr)
            return std::nullopt;
        std::optional<Value> exact = node->value_exact<Value>();
        if (!exact)
            note(key, node, std::string("must be ") + type);
        return exact;
    }
};

Reader::Reader(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{}
Reader::Reader(Reader &&other) noexcept = default;
Reader &Reader::operator=(Reader &&other) noexcept = default;
Reader::~Reader() = default;

kernel::Result<Reader> Reader::open(const std::string &file)
{
    auto impl = std::make_unique<Impl>();
    impl->file = file;
    try {
        impl->table = toml::parse_file(file);
    } catch (const toml::parse_error &error) {
        return kernel::fail(kernel::ResultCode::SettingsUnreadable,
                            describeParseError(file, error));
    }
    return Reader(std::move(impl));
}

kernel::Result<Reader> Reader::parse(const std::string &text, const std::string &name)
{
    auto impl = std::make_unique<Impl>();
    impl->file = name;
    try {
        impl->table = toml::parse(text, name);
    } catch (const toml::parse_error &error) {
        return kernel::fail(kernel::ResultCode::SettingsUnreadable,
                            describeParseError(name, error));
    }
    return Reader(std::move(impl));
}

bool Reader::has(const std::string &key) const
{
    return m_impl->table.at_path(key).node() != nullptr;
}

std::string Reader::text(const std::string &key, const std::string &fallback)
{
    return m_impl->value<std::string>(key, "a text").value_or(fallback);
}

std::string Reader::requiredText(const std::string &key)
{
    std::string found = text(key, {});
    if (!has(key))
        m_impl->note(key, nullptr, "is missing");
    else if (found.empty())
        reject(key, "must not be empty");
    return found;
}

std::int64_t Reader::integer(const std::string &key, std::int64_t fallback, IntegerRange range)
{
    const std::optional<std::int64_t> found = m_impl->value<std::int64_t>(key, "a whole number");
    if (!found)
        return fallback;
    if (*found >= range.min && *found <= range.max)
        return *found;
    reject(key,
           "must be between " + std::to_string(range.min) + " and " + std::to_string(range.max));
    return fallback;
}

double Reader::number(const std::string &key, double fallback)
{
    const toml::node *node = m_impl->find(key);
    if (node != nullptr && node->is_integer())
        return static_cast<double>(node->value_exact<std::int64_t>().value_or(0));
    return m_impl->value<double>(key, "a number").value_or(fallback);
}

bool Reader::flag(const std::string &key, bool fallback)
{
    return m_impl->value<bool>(key, "true or false").value_or(fallback);
}

kernel::Duration Reader::milliseconds(const std::string &key, kernel::Duration fallback,
                                      IntegerRange range)
{
    return std::chrono::milliseconds(integer(key, kernel::toMilliseconds(fallback), range));
}

kernel::Endpoint Reader::endpoint(const std::string &key, const kernel::Endpoint &fallback)
{
    const std::optional<std::string> found = m_impl->value<std::string>(key, "a text \"IP:PORT\"");
    if (!found)
        return fallback;
    const std::optional<kernel::Endpoint> parsed = parseEndpoint(*found);
    if (!parsed)
        reject(key, "\"" + *found + "\" is not of the form IP:PORT");
    return parsed.value_or(fallback);
}

kernel::Endpoint Reader::requiredEndpoint(const std::string &key)
{
    if (!has(key))
        m_impl->note(key, nullptr, "is missing");
    return endpoint(key, {});
}

std::vector<kernel::Endpoint> Reader::endpoints(const std::string &key)
{
    std::vector<kernel::Endpoint> result;
    const toml::node *node = m_impl->find(key);
    if (node == nullptr)
        return result;
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        m_impl->note(key, node, "must be a list of texts \"IP:PORT\"");
        return result;
    }
    for (const toml::node &element : *array) {
        const std::string text = element.value_or(std::string());
        const std::optional<kernel::Endpoint> parsed = parseEndpoint(text);
        if (parsed)
            result.push_back(*parsed);
        else
            m_impl->note(key, &element, "\"" + text + "\" is not of the form IP:PORT");
    }
    return result;
}

std::vector<std::string> Reader::askedKeys() const
{
    return { m_impl->asked.begin(), m_impl->asked.end() };
}

void Reader::reject(const std::string &key, const std::string &message)
{
    m_impl->note(key, m_impl->table.at_path(key).node(), message);
}

std::vector<Mistake> Reader::finish()
{
    std::vector<std::pair<std::string, const toml::node *>> keys;
    collectKeys(m_impl->table, "", keys);
    for (const auto &[key, node] : keys) {
        if (!m_impl->asked.contains(key))
            m_impl->note(key, node, "unknown key");
    }
    std::ranges::stable_sort(m_impl->mistakes, {}, &Mistake::line);
    return m_impl->mistakes;
}

} // namespace acaciasail::settings
