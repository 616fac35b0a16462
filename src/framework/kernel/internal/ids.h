#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace acaciasail::kernel {

/// A text identifier of one kind; ids of different kinds don't mix.
template<class Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const Id &, const Id &) = default;
    friend auto operator<=>(const Id &, const Id &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const Id &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

using WorkspaceId = Id<struct WorkspaceTag>;
using CallerId = Id<struct CallerTag>;
using ModelId = Id<struct ModelTag>;
using VersionId = Id<struct VersionTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ServiceName = Id<struct ServiceNameTag>;
using RolloutId = Id<struct RolloutTag>;
using SessionId = Id<struct SessionTag>;
using RequestId = Id<struct RequestTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
using BillId = Id<struct BillTag>;
/// Name of an entry VM, unique in the fleet.
using VmId = Id<struct VmTag>;
using DataCentreId = Id<struct DataCentreTag>;
/// Kind of request within a workspace, such as "draft", "answer" or "tag".
using KindId = Id<struct KindTag>;
/// Id of one operator's edit, by which a lost reply is settled.
using EditId = Id<struct EditTag>;

/// An IP address and a port of a process.
struct Endpoint
{
    std::string ip;
    unsigned short port = 0;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Returns "ip:port".
inline std::string toString(const Endpoint &endpoint)
{
    return endpoint.ip + ":" + std::to_string(endpoint.port);
}

} // namespace acaciasail::kernel

template<class Tag>
struct std::hash<acaciasail::kernel::Id<Tag>>
{
    std::size_t operator()(const acaciasail::kernel::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template<>
struct std::hash<acaciasail::kernel::Endpoint>
{
    std::size_t operator()(const acaciasail::kernel::Endpoint &endpoint) const noexcept
    {
        return std::hash<std::string>{}(endpoint.ip) * 65599U + endpoint.port;
    }
};
