#include "table/internal/storedrow.h"

#include <nlohmann/json.hpp>

namespace acaciasail::table {

namespace {

using Json = nlohmann::ordered_json;

std::string stringMember(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

kernel::Error malformed(const std::string &message)
{
    return { kernel::ResultCode::MalformedJson, message };
}

} // namespace

std::string formatRowValue(const RowValue &value)
{
    Json json = Json::object();
    if (value.deleted)
        json["deleted"] = true;
    else
        json["row"] = Json::parse(value.row, nullptr, false);
    json["edit"] = value.edit.str();
    json["by"] = value.by;
    json["at"] = value.at;
    Json previous = Json::array();
    for (const kernel::EditId &edit : value.previous)
        previous.push_back(edit.str());
    json["previous"] = std::move(previous);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

kernel::Completion<RowValue> parseRowValue(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return malformed("the value is not a JSON object");
    RowValue value;
    value.edit = kernel::EditId(stringMember(json, "edit"));
    value.by = stringMember(json, "by");
    value.at = stringMember(json, "at");
    const auto previous = json.find("previous");
    if (previous != json.end() && previous->is_array()) {
        for (const Json &edit : *previous) {
            if (edit.is_string())
                value.previous.emplace_back(edit.get<std::string>());
        }
    }
    const auto deleted = json.find("deleted");
    value.deleted = deleted != json.end() && deleted->is_boolean() && deleted->get<bool>();
    const auto row = json.find("row");
    if (!value.deleted) {
        if (row == json.end() || !row->is_object())
            return malformed("the value has no \"row\" object");
        value.row = row->dump();
    }
    return value;
}

std::string objectKey(const RowKey &key)
{
    return std::string(objectPrefix) + toString(key);
}

std::optional<RowKey> parseRowKey(std::string_view key)
{
    const std::size_t slash = key.find('/');
    const auto table = tableFromName(key.substr(0, slash));
    if (slash == std::string_view::npos || !table)
        return std::nullopt;
    return RowKey{ *table, std::string(key.substr(slash + 1)) };
}

} // namespace acaciasail::table
