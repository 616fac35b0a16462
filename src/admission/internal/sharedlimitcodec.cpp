#include <nlohmann/json.hpp>

#include "admission/internal/sharedlimit.h"

namespace acaciasail::admission {

namespace {

using Json = nlohmann::json;

Json toJson(const LimitSubject &subject)
{
    return { { "scope", subject.scope == table::LimitScope::Caller ? "caller" : "workspace" },
             { "id", subject.id } };
}

LimitSubject subjectFrom(const Json &json)
{
    const bool caller = json.at("scope").get<std::string>() == "caller";
    return { caller ? table::LimitScope::Caller : table::LimitScope::Workspace,
             json.at("id").get<std::string>() };
}

/// Reads a fraction of a limit. Throws on a negative, non-finite or implausibly large value, which
/// is an error of the sender.
double fractionFrom(const Json &json, const char *field)
{
    const auto fraction = json.at(field).get<double>();
    if (!(fraction >= 0 && fraction < 1e6))
        throw std::out_of_range(std::string(field) + " is out of range");
    return fraction;
}

/// Parses `text`, applies `read`, and converts any exception to an error result.
template<class Message, class Read>
kernel::Result<Message> decode(const std::string &text, Read read)
{
    try {
        return read(Json::parse(text));
    } catch (const std::exception &error) {
        return kernel::fail(kernel::ResultCode::PeerProtocol,
                            std::string("invalid shared limit message: ") + error.what());
    }
}

} // namespace

std::string encode(const GrantRequest &request)
{
    return Json{
        { "subject", toJson(request.subject) },
        { "from", request.from.str() },
        { "number", request.number },
        { "demand", request.demand },
        { "held", request.held },
        { "held_us", request.heldFor.count() },
        { "held_sequence", request.heldSequence }
    }.dump();
}

std::string encode(const Grant &grant)
{
    return Json{
        { "subject", toJson(grant.subject) },
        { "number", grant.number },
        { "sequence", grant.sequence },
        { "fraction", grant.fraction }
    }.dump();
}

kernel::Result<GrantRequest> decodeGrantRequest(const std::string &text)
{
    return decode<GrantRequest>(text, [](const Json &json) {
        return GrantRequest{ .subject = subjectFrom(json.at("subject")),
                             .from = kernel::VmId(json.at("from").get<std::string>()),
                             .number = json.at("number").get<std::uint64_t>(),
                             .demand = fractionFrom(json, "demand"),
                             .held = fractionFrom(json, "held"),
                             .heldFor = kernel::Duration(json.at("held_us").get<std::int64_t>()),
                             .heldSequence = json.at("held_sequence").get<std::uint64_t>() };
    });
}

kernel::Result<Grant> decodeGrant(const std::string &text)
{
    return decode<Grant>(text, [](const Json &json) {
        return Grant{ .subject = subjectFrom(json.at("subject")),
                      .number = json.at("number").get<std::uint64_t>(),
                      .sequence = json.at("sequence").get<std::uint64_t>(),
                      .fraction = fractionFrom(json, "fraction") };
    });
}

} // namespace acaciasail::admission
