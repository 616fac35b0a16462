#include "externals/internal/replies.h"

#include <nlohmann/json.hpp>

namespace acaciasail::externals {

namespace {

using Json = nlohmann::json;
using kernel::Error;
using kernel::ResultCode;

constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpGone = 410;
constexpr int httpTooManyRequests = 429;
constexpr int httpUnavailable = 503;

Json parse(std::string_view body)
{
    return Json::parse(body, nullptr, false);
}

Error malformed(const std::string &what)
{
    return formatError(CallKind::Read, what);
}

// Reads typed members of a JSON object and remembers whether one was missing or of another type.
class Reader
{
public:
    explicit Reader(const Json &json)
        : m_json(json)
        , m_ok(json.is_object())
    {}

    std::string text(const char *name)
    {
        const Json *value = find(name);
        return check(value != nullptr && value->is_string()) ? value->get<std::string>() : "";
    }
    std::int64_t integer(const char *name)
    {
        const Json *value = find(name);
        return check(value != nullptr && value->is_number_integer()) ? value->get<std::int64_t>()
                                                                     : 0;
    }
    double number(const char *name)
    {
        const Json *value = find(name);
        return check(value != nullptr && value->is_number()) ? value->get<double>() : 0;
    }
    /// False where it is missing.
    bool flag(const char *name)
    {
        const Json *value = find(name);
        if (value == nullptr)
            return false;
        return check(value->is_boolean()) && value->get<bool>();
    }
    bool check(bool condition)
    {
        m_ok = m_ok && condition;
        return condition;
    }
    bool ok() const { return m_ok; }

private:
    const Json *find(const char *name) const
    {
        if (!m_json.is_object())
            return nullptr;
        const auto found = m_json.find(name);
        return found != m_json.end() ? &*found : nullptr;
    }

    const Json &m_json;
    bool m_ok;
};

StoredObject readObject(Reader &reader)
{
    StoredObject object;
    object.deleted = reader.flag("deleted");
    object.key = reader.text("key");
    if (!object.deleted)
        object.value = reader.text("value");
    object.revision = kernel::Revision(reader.integer("revision"));
    return object;
}

VmEntry readVm(Reader &reader)
{
    VmEntry vm;
    vm.id = kernel::VmId(reader.text("id"));
    const std::string role = reader.text("role");
    reader.check(role == "entry" || role == "upstream");
    vm.role = role == "upstream" ? VmRole::Upstream : VmRole::Entry;
    vm.dataCentre = kernel::DataCentreId(reader.text("data_centre"));
    vm.endpoint.ip = reader.text("ip");
    const std::int64_t port = reader.integer("port");
    reader.check(port >= 0 && port <= UINT16_MAX);
    vm.endpoint.port = static_cast<unsigned short>(port);
    vm.leaving = reader.flag("leaving");
    return vm;
}

Rating readRating(Reader &reader)
{
    Rating rating;
    rating.sequence = reader.integer("sequence");
    rating.request = kernel::RequestId(reader.text("request"));
    rating.workspace = kernel::WorkspaceId(reader.text("workspace"));
    rating.kind = kernel::KindId(reader.text("kind"));
    rating.version = kernel::VersionId(reader.text("version"));
    rating.score = reader.number("score");
    reader.check(rating.score >= 0 && rating.score <= 1);
    return rating;
}

// Reads a list of objects, each by a function.
template<class Element>
kernel::Completion<std::vector<Element>> readList(const Json &json, Element (*read)(Reader &),
                                                  const std::string &what)
{
    if (!json.is_array())
        return malformed(what);
    std::vector<Element> elements;
    elements.reserve(json.size());
    for (const Json &entry : json) {
        Reader reader(entry);
        elements.push_back(read(reader));
        if (!reader.ok())
            return malformed(what);
    }
    return elements;
}

} // namespace

Error transportError(CallKind kind, const Error &error)
{
    if (error.code == ResultCode::UpstreamConnectFailed || kind == CallKind::Read)
        return { ResultCode::PlatformUnreachable, "the platform: " + error.message };
    return { ResultCode::WriteOutcomeUnknown, "no reply came to a write: " + error.message };
}

Error statusError(CallKind kind, int status, const std::string &what)
{
    switch (status) {
    case httpNotFound:
        return { ResultCode::ObjectNotFound, what + " does not exist" };
    case httpConflict:
        return { ResultCode::RevisionConflict, what + " has another revision" };
    case httpGone:
        return { ResultCode::WatchCompacted, what + ": the history begins later" };
    case httpTooManyRequests:
        return { ResultCode::PlatformThrottled, what + ": too many calls" };
    case httpUnavailable:
        return { ResultCode::PlatformUnreachable, what + ": the platform's service is down" };
    default:
        return { kind == CallKind::Write ? ResultCode::WriteOutcomeUnknown
                                         : ResultCode::PlatformProtocol,
                 what + ": unexpected status " + std::to_string(status) };
    }
}

Error formatError(CallKind kind, const std::string &what)
{
    return { kind == CallKind::Write ? ResultCode::WriteOutcomeUnknown
                                     : ResultCode::PlatformProtocol,
             "the answer with " + what + " breaks the protocol" };
}

kernel::Completion<StoredObject> parseObject(std::string_view body)
{
    const Json json = parse(body);
    Reader reader(json);
    StoredObject object = readObject(reader);
    if (!reader.ok())
        return malformed("an object");
    return object;
}

kernel::Completion<ObjectList> parseObjectList(std::string_view body)
{
    const Json json = parse(body);
    Reader reader(json);
    ObjectList list;
    list.revision = kernel::Revision(reader.integer("revision"));
    if (!reader.ok() || !json.contains("objects"))
        return malformed("a list of objects");
    auto objects = readList<StoredObject>(json["objects"], readObject, "a list of objects");
    if (!objects.ok())
        return objects.error();
    list.objects = std::move(objects.value());
    return list;
}

kernel::Completion<kernel::Revision> parseRevision(std::string_view body)
{
    const Json json = parse(body);
    Reader reader(json);
    const kernel::Revision revision(reader.integer("revision"));
    if (!reader.ok())
        return formatError(CallKind::Write, "a revision");
    return revision;
}

kernel::Completion<std::vector<VmEntry>> parseVmList(std::string_view body)
{
    return readList<VmEntry>(parse(body), readVm, "the list of VMs");
}

kernel::Completion<std::vector<Rating>> parseRatings(std::string_view body)
{
    return readList<Rating>(parse(body), readRating, "ratings");
}

kernel::Completion<kernel::Duration> parseWait(std::string_view body)
{
    const Json json = parse(body);
    Reader reader(json);
    const std::int64_t milliseconds = reader.integer("wait_ms");
    if (!reader.ok() || milliseconds < 0)
        return malformed("a reservation");
    return kernel::Duration(std::chrono::milliseconds(milliseconds));
}

std::string formatReservation(const kernel::VersionId &version)
{
    return Json{ { "version", version.str() } }.dump();
}

} // namespace acaciasail::externals
