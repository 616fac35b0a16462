#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace acaciasail::json {

/// Reads typed members of a JSON object and records the first error: a member that is missing or
/// has the wrong type.
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &json)
        : m_json(json)
    {
        if (!json.is_object())
            m_error = "the value is not a JSON object";
    }

    const nlohmann::json *find(const char *name) const
    {
        if (!m_json.is_object())
            return nullptr;
        const auto found = m_json.find(name);
        return found == m_json.end() || found->is_null() ? nullptr : &*found;
    }

    std::string text(const char *name)
    {
        const nlohmann::json *value
            = require(name, find(name) != nullptr && find(name)->is_string());
        return value != nullptr ? value->get<std::string>() : "";
    }
    std::string text(const char *name, const std::string &fallback)
    {
        return find(name) != nullptr ? text(name) : fallback;
    }
    std::int64_t integer(const char *name)
    {
        const nlohmann::json *value
            = require(name, find(name) != nullptr && find(name)->is_number_integer());
        return value != nullptr ? value->get<std::int64_t>() : 0;
    }
    std::int64_t integer(const char *name, std::int64_t fallback)
    {
        return find(name) != nullptr ? integer(name) : fallback;
    }
    double number(const char *name, double fallback)
    {
        if (find(name) == nullptr)
            return fallback;
        const nlohmann::json *value = require(name, find(name)->is_number());
        return value != nullptr ? value->get<double>() : fallback;
    }
    bool flag(const char *name, bool fallback)
    {
        if (find(name) == nullptr)
            return fallback;
        const nlohmann::json *value = require(name, find(name)->is_boolean());
        return value != nullptr ? value->get<bool>() : fallback;
    }
    /// Returns the elements of an array member; empty if the member is missing.
    const nlohmann::json &list(const char *name)
    {
        static const nlohmann::json empty = nlohmann::json::array();
        if (find(name) == nullptr)
            return empty;
        const nlohmann::json *value = require(name, find(name)->is_array());
        return value != nullptr ? *value : empty;
    }
    void recordError(const std::string &message)
    {
        if (m_error.empty())
            m_error = message;
    }
    const std::string &error() const { return m_error; }

private:
    const nlohmann::json *require(const char *name, bool valid)
    {
        if (valid)
            return find(name);
        recordError(std::string(name) + " is missing or has the wrong type");
        return nullptr;
    }

    const nlohmann::json &m_json;
    std::string m_error;
};

} // namespace acaciasail::json
