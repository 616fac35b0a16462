#include "routing/internal/evidence.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace acaciasail::routing {

namespace {

using Counter = std::int64_t ArmCounters::*;

// Order of the counters in the wire format. New counters must be appended at the end.
constexpr std::array<Counter, 8> counters{
    &ArmCounters::requests,          &ArmCounters::errors,
    &ArmCounters::latencies,         &ArmCounters::logLatencySum,
    &ArmCounters::logLatencySquares, &ArmCounters::ratings,
    &ArmCounters::ratingSum,         &ArmCounters::ratingSquares
};

void mergeArm(ArmCounters &into, const ArmCounters &from)
{
    for (const Counter counter : counters)
        into.*counter = std::max(into.*counter, from.*counter);
}

nlohmann::json encodeArm(const ArmCounters &arm)
{
    nlohmann::json array = nlohmann::json::array();
    for (const Counter counter : counters)
        array.push_back(arm.*counter);
    return array;
}

kernel::Result<ArmCounters> decodeArm(const nlohmann::json &router, const char *name)
{
    ArmCounters arm;
    const auto found = router.find(name);
    if (found == router.end())
        return arm;
    if (!found->is_array())
        return kernel::fail(kernel::ResultCode::InvalidField,
                            std::string("evidence: ") + name + " is not an array");
    for (std::size_t i = 0; i < std::min(found->size(), counters.size()); ++i) {
        const nlohmann::json &value = (*found)[i];
        if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
            return kernel::fail(kernel::ResultCode::InvalidField,
                                std::string("evidence: a counter of ") + name
                                    + " is not a non-negative integer");
        arm.*counters.at(i) = value.get<std::int64_t>();
    }
    return arm;
}

kernel::Result<RouterEvidence> decodeRouterEvidence(const nlohmann::json &value)
{
    if (!value.is_object())
        return kernel::fail(kernel::ResultCode::InvalidField,
                            "evidence: an entry of \"daemons\" is not an object");
    RouterEvidence router;
    BOOST_LEAF_ASSIGN(router.baseline, decodeArm(value, "baseline"));
    BOOST_LEAF_ASSIGN(router.candidate, decodeArm(value, "candidate"));
    const auto halted = value.find("halted");
    router.halted = halted != value.end() && halted->is_boolean() && halted->get<bool>();
    return router;
}

} // namespace

void mergeEvidence(RolloutEvidence &into, const RolloutEvidence &from)
{
    for (const auto &[router, evidence] : from) {
        RouterEvidence &own = into[router];
        mergeArm(own.baseline, evidence.baseline);
        mergeArm(own.candidate, evidence.candidate);
        own.halted = own.halted || evidence.halted;
    }
}

std::string encodeEvidence(const kernel::RolloutId &rollout, const RolloutEvidence &evidence)
{
    nlohmann::json routers = nlohmann::json::object();
    for (const auto &[router, entry] : evidence) {
        routers[router] = { { "baseline", encodeArm(entry.baseline) },
                            { "candidate", encodeArm(entry.candidate) },
                            { "halted", entry.halted } };
    }
    return nlohmann::json{ { "rollout", rollout.str() }, { "daemons", std::move(routers) } }.dump();
}

kernel::Result<DecodedEvidence> decodeEvidence(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return kernel::fail(kernel::ResultCode::MalformedJson, "evidence is not well-formed JSON");
    if (!json.is_object() || !json.contains("rollout") || !json["rollout"].is_string()
        || !json.contains("daemons") || !json["daemons"].is_object()) {
        return kernel::fail(kernel::ResultCode::InvalidField,
                            "evidence needs a string \"rollout\" and an object \"daemons\"");
    }
    DecodedEvidence decoded{ .rollout = kernel::RolloutId(json["rollout"].get<std::string>()) };
    for (const auto &[router, entry] : json["daemons"].items()) {
        BOOST_LEAF_ASSIGN(decoded.evidence[router], decodeRouterEvidence(entry));
    }
    return decoded;
}

} // namespace acaciasail::routing
